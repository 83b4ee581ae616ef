package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.health.WorkerScores;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;
import org.testng.annotations.Test;

/** Tests of decisions that follow from the ratings of workers. */
public class WorkerHealthTest {

  private static final LoadControl SCORES =
      new LoadControl(Set.of(LoadPart.WORKER_SCORES), 900, 100);
  private static final String SLOW_LINE = "worker w0 1 0.200 1.000";

  /** A leader with two equal workers, of which an earlier leader may have stored ratings. */
  private static final class Leader {
    final JobScheduler scheduler;
    private long now = 1_000;

    Leader(LoadControl loadControl, String learned, long firstStartTime) {
      scheduler =
          new JobScheduler(
              JobTiming.STANDARD, loadControl, JobFixtures.TABLE, new Moment(now, now), 0);
      post(new JobEvent.LearnedRecovered(learned));
      seen("w0", firstStartTime);
      seen("w1", 1);
    }

    private void seen(String id, long startTime) {
      WorkerIncarnation incarnation = new WorkerIncarnation(new WorkerId(id), startTime);
      post(
          new JobEvent.WorkerSeen(
              new WorkerInfo(
                  incarnation,
                  "pool",
                  id + ":1",
                  new DataCentreId("dc"),
                  new Resources(8_000, 8_000, 0),
                  List.of(),
                  false)));
      post(
          new JobEvent.WorkerReported(
              incarnation, now, new WorkerReport(startTime, now, List.of(), List.of())));
    }

    List<JobEffect> post(JobEvent event) {
      now += 10;
      return scheduler.reduce(new Moment(now, now), event);
    }

    List<String> notesOfTick() {
      return post(new JobEvent.Tick(new Moment(now, now))).stream()
          .filter(JobEffect.Note.class::isInstance)
          .map(effect -> ((JobEffect.Note) effect).name())
          .filter(name -> name.equals("worker.doubted"))
          .toList();
    }

    /** Returns where the tasks of a job of four cores are placed. */
    String placements() {
      return post(new JobEvent.JobArrived(JobFixtures.job("j", JobFixtures.step(3, 1, List.of()))))
          .stream()
          .flatMap(effect -> effect instanceof JobEffect.Note note ? Stream.of(note) : Stream.of())
          .filter(note -> note.name().equals("job.placed"))
          .map(note -> note.detail().replaceAll("[^@]*@(w\\d)", "$1 ").trim())
          .collect(Collectors.joining());
    }
  }

  /** Changes of leaders and restarts of workers. */
  public static class Restored {

    /** Guards against a next leader that sends short tasks to a worker known to be slow. */
    @Test
    public void avoidsWorkerThatEarlierLeaderDoubted() {
      Leader leader = new Leader(SCORES, SLOW_LINE, 1);
      assertEquals(leader.notesOfTick(), List.of("worker.doubted"));
      assertEquals(leader.placements(), "w1 w1 w1");
    }

    /** Guards against a restarted worker that is avoided for its former incarnation. */
    @Test
    public void trustsRestartedWorker() {
      Leader leader = new Leader(SCORES, SLOW_LINE, 2);
      assertEquals(leader.notesOfTick(), List.of());
      assertTrue(leader.placements().contains("w0"));
    }

    /** Guards against decisions that change where worker scores are not in force. */
    @Test
    public void ignoresStoredRatingsWithPartOff() {
      Leader leader = new Leader(LoadControl.OFF, SLOW_LINE, 1);
      assertEquals(leader.notesOfTick(), List.of());
      assertEquals(
          leader.placements(), new Leader(LoadControl.OFF, "", 1).placements(), "placements");
    }
  }

  /** A worker with one run whose reports a test makes up. */
  private static final class Run {
    private final Term term =
        new Term(JobTiming.STANDARD, SCORES, JobFixtures.TABLE, new Moment(1_000, 1_000), 0);
    private final Orders orders = new Orders(term);
    private final WorkerHealth health =
        new WorkerHealth(
            term,
            orders,
            new DurationEstimates(),
            new WorkerSelector(new LearnedInterference()),
            new WorkerScores());
    private final Worker worker = term.add(info("w0"), 0);
    final Task task;

    Run(long expectedMillis) {
      StepSpec step = TestStep.tasks(1).estimate(expectedMillis).of();
      Job job = new Job(JobFixtures.job("j", step), 0);
      task = job.task(new TaskName(new StepId(job.spec.id(), 0, 0), 0));
      task.place(worker.incarnation(), 1_000);
      worker.add(task);
      term.now = new Moment(1_010, 1_010);
      task.sent(1_010);
      orders.confirm(task);
    }

    /** Lists the run as a report does, at a time since its start. */
    void listed(long millis, int progress) {
      term.now = new Moment(1_010 + millis, 1_010 + millis);
      orders.confirm(task);
      task.progress = progress;
      health.measure(worker, task);
    }

    void done(long millis) {
      term.now = new Moment(1_010 + millis, 1_010 + millis);
      health.ended(worker, task, WorkerReport.CompletionStatus.DONE);
    }
  }

  private static WorkerInfo info(String id) {
    return new WorkerInfo(
        new WorkerIncarnation(new WorkerId(id), 1),
        "pool",
        id + ":1",
        new DataCentreId("dc"),
        new Resources(8_000, 8_000, 0),
        List.of(),
        false);
  }

  /** Speeds of single runs. */
  public static class Measured {

    /** Guards against progress since the start that is counted for one interval of reports. */
    @Test
    public void countsProgressBetweenReports() {
      Run run = new Run(4_000);
      run.listed(1_000, 25);
      run.listed(1_500, 38);
      assertEquals(run.task.measuredSpeed, 1, 0.1);
      run.listed(2_000, 50);
      assertEquals(run.task.measuredSpeed, 1, 0.1);
    }

    /** Guards against a duration that is counted from the last report instead of the start. */
    @Test
    public void countsDurationFromStart() {
      Run run = new Run(500);
      run.listed(400, 80);
      run.done(500);
      assertEquals(run.task.measuredSpeed, 1, 0.1);
    }

    /** Guards against a long run that seems to stand still between two reports. */
    @Test
    public void measuresLongRunsOverSeveralReports() {
      Run run = new Run(60_000);
      for (long i = 1; i <= 60; i++) {
        run.listed(500 * i, (int) ((500 * i - 500) / 600));
        assertTrue(run.task.measuredSpeed == 0 || run.task.measuredSpeed > 0.85, "at " + i);
      }
      assertEquals(run.task.measuredSpeed, 1, 0.15);
    }

    /** Guards against a finished run whose missing progress counts as slowness. */
    @Test
    public void ignoresRunsAtFullProgress() {
      Run run = new Run(1_000);
      run.listed(1_000, 100);
      run.listed(1_500, 100);
      assertEquals(run.task.measuredSpeed, 0.0);
    }
  }

  /** Three workers, each with place for one run. */
  private static final class Pool {
    final Term term =
        new Term(JobTiming.STANDARD, SCORES, JobFixtures.TABLE, new Moment(1_000, 1_000), 0);
    private final WorkerScores scores = new WorkerScores();
    private final WorkerHealth health =
        new WorkerHealth(
            term,
            new Orders(term),
            new DurationEstimates(),
            new WorkerSelector(new LearnedInterference()),
            scores);
    private final List<Worker> workers =
        Stream.of("w0", "w1", "w2").map(id -> term.add(info(id), 0)).toList();

    Pool() {
      workers.forEach(
          worker -> {
            worker.registered = true;
            worker.everAnswered = true;
          });
    }

    Task waiting(String id) {
      StepSpec step = TestStep.tasks(1).cpu(8_000).estimate(4_000).of();
      Job job = new Job(JobFixtures.job(id, step), 0);
      term.jobsToPlace.add(job);
      return job.task(new TaskName(new StepId(job.spec.id(), 0, 0), 0));
    }

    /** Begins a run on a worker, where it turns out to be slow. */
    void runSlowly(Task task, int on) {
      Worker worker = workers.get(on);
      term.jobsToPlace.remove(task.job);
      task.place(worker.incarnation(), term.now.mono());
      worker.add(task);
      task.order = Task.Order.CONFIRMED;
      task.began = true;
      task.progress = 10;
      task.measuredSpeed = 0.1;
      task.measuredOn = Optional.of(worker.info.id());
      Stream.of("a", "b")
          .forEach(
              run ->
                  scores
                      .of(worker.info.id(), 1, "pool", term.now.mono())
                      .ran(run, 0.1, true, term.now.mono()));
    }

    /** Returns the number of runs that are stopped in the next 1.5 s. */
    int stops() {
      term.effects.clear();
      for (int i = 0; i < 5; i++) {
        long now = term.now.mono() + 300;
        term.now = new Moment(now, now);
        health.tick();
      }
      return term.effects.stream()
          .flatMap(
              effect -> effect instanceof JobEffect.StopRun stop ? Stream.of(stop) : Stream.of())
          .map(JobEffect.StopRun::run)
          .collect(Collectors.toSet())
          .size();
    }
  }

  /** Moves off slow workers. */
  public static class Moves {

    /** Guards against several runs that are stopped for one free place. */
    @Test
    public void moveOneRunToOnePlace() {
      Pool pool = new Pool();
      pool.runSlowly(pool.waiting("a"), 0);
      pool.runSlowly(pool.waiting("b"), 1);
      assertEquals(pool.stops(), 1);
    }

    /** Guards against a task that is moved from worker to worker and never ends. */
    @Test
    public void moveEachTaskOnce() {
      Pool pool = new Pool();
      Task task = pool.waiting("a");
      pool.runSlowly(task, 0);
      assertEquals(pool.stops(), 1);
      pool.term.release(task);
      pool.runSlowly(task, 2);
      assertEquals(pool.stops(), 0);
    }

    /** Guards against a stopped run whose place goes to a task that was already waiting. */
    @Test
    public void leavePlaceToWaitingTasks() {
      Pool pool = new Pool();
      pool.runSlowly(pool.waiting("a"), 0);
      pool.waiting("b");
      assertEquals(pool.stops(), 0);
    }
  }

  /** A load on workers of which some are slow and some fail. */
  public static class Load {

    private static ReplayOutcome mean(ReplayPolicy policy) {
      ReplayShape.Troubles troubles = new ReplayShape.Troubles(1.4, 0, 0.2, 0, 6_000, 0, 900);
      ReplayShape shape = ReplayShape.uneven().with(troubles).small(15, 12_000);
      return ReplayOutcome.mean(Replay.all(shape, policy, 4));
    }

    /** Guards against runs that stay on slow workers, and placements that ignore the speed. */
    @Test
    public void losesLessToSlowWorkers() {
      ReplayOutcome scored = mean(ReplayPolicy.WORKER_SCORES);
      ReplayOutcome standing = mean(ReplayPolicy.STANDING);
      String figures = scored + "\n" + standing;
      assertTrue(scored.shorts() > standing.shorts() + 0.05, figures);
      assertTrue(scored.bestEffort() > standing.bestEffort() + 0.05, figures);
    }
  }
}
