package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
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
