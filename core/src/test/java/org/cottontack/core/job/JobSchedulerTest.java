package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of a leader's decisions, in virtual time. */
public class JobSchedulerTest {

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);
  private static final JobTable TABLE = new JobTable(1, List.of(QUEUE), List.of());
  private static final long LEASE_MILLIS = JobTiming.STANDARD.taskLeaseMillis();

  private static StepSpec step(
      int count, long cores, List<Integer> after, StepSpec.Trait... traits) {
    return step(count, cores, after, 0, "", 0, traits);
  }

  private static StepSpec step(
      int count,
      long cores,
      List<Integer> after,
      int maxPerWorker,
      String image,
      double target,
      StepSpec.Trait... traits) {
    return TestStep.tasks(count)
        .cpu(1_000 * cores)
        .after(after)
        .apart(maxPerWorker)
        .image(image)
        .target(target)
        .of(traits);
  }

  private static JobSpec job(String id, StepSpec... steps) {
    return new JobSpec(new JobId(id), QUEUE, "payload", List.of(steps), JobSpec.Schedule.AT_ONCE);
  }

  private static JobLab lab(LabWorker... workers) {
    JobLab lab = new JobLab(workers);
    lab.table(TABLE);
    lab.run(200);
    return lab;
  }

  /** Steps, attempts and ends on a calm day. */
  public static class Course {

    @Test
    public void runsStepsInOrderAndCompletes() {
      JobLab lab = lab(new LabWorker("w1", 8), new LabWorker("w2", 8));
      JobSpec job = job("a", step(4, 2, List.of()), step(2, 2, List.of(0)));
      lab.submit(job);
      lab.run(300);
      assertEquals(lab.starts(), 4);
      lab.run(900);
      assertEquals(lab.starts(), 6);
      lab.run(300);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
    }

    @Test
    public void failsAfterTheLastAttempt() {
      JobLab lab = lab(new LabWorker("w1", 8));
      lab.fails = true;
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(3_000);
      assertEquals(lab.phase(job.id()), JobPhase.FAILED);
      assertEquals(lab.starts(), 2);
    }

    @Test
    public void restartsWhatLastsHoweverItEnds() {
      JobLab lab = lab(new LabWorker("w1", 8));
      lab.fails = true;
      JobSpec job = job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS));
      lab.submit(job);
      lab.run(3_000);
      assertEquals(lab.phase(job.id()), JobPhase.RUNNING);
      assertTrue(lab.starts() > 3, "starts: " + lab.starts());
    }

    @Test
    public void keepsToTheSpreadLimit() {
      LabWorker first = new LabWorker("w1", 32);
      LabWorker second = new LabWorker("w2", 32);
      JobLab lab = lab(first, second);
      lab.submit(job("a", step(6, 1, List.of(), 2, "", 0)));
      lab.run(300);
      assertEquals(first.count(), 2);
      assertEquals(second.count(), 2);
    }

    @Test
    public void waitsForRoomRatherThanOverfillOne() {
      JobLab lab = lab(new LabWorker("w1", 4));
      JobSpec job = job("a", step(6, 2, List.of()));
      lab.submit(job);
      lab.run(300);
      assertEquals(lab.starts(), 2);
      lab.run(3_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
    }
  }

  /** What is stored before what is sent. */
  public static class Durability {

    /**
     * The store is away. A placement that was sent without being stored would be unknown to the
     * next leader, which would start the task again elsewhere while it runs.
     */
    @Test
    public void startsNothingThatIsNotStored() {
      JobLab lab = lab(new LabWorker("w1", 8));
      lab.storeAway = true;
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(2_000);
      assertEquals(lab.starts(), 0);
      lab.storeBack();
      lab.run(200);
      assertEquals(lab.starts(), 1);
    }

    /**
     * A task ends while the store is away. Once acknowledged, its worker forgets the end; a leader
     * that comes next would find neither run nor end and run the finished task again.
     */
    @Test
    public void acknowledgesNoEndThatIsNotStored() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(200);
      lab.storeAway = true;
      lab.run(7_000);
      assertEquals(worker.acknowledgedEnds(), 0);
      lab.takeOver();
      lab.storeBack();
      lab.run(1_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 1);
    }
  }

  /** Orders that get no answer, workers that go and come back. */
  public static class Doubt {

    /**
     * A start gets no answer but was carried out. The leader sends it again; the worker takes the
     * same run as the same, and the task runs once.
     */
    @Test
    public void startsOnceWhenTheAnswerIsLost() {
      JobLab lab = lab(new LabWorker("w1", 8), new LabWorker("w2", 8));
      boolean[] first = {true};
      lab.lost =
          effect -> {
            boolean lose = first[0];
            first[0] = false;
            return lose;
          };
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.workMillis = 3_000;
      lab.submit(job);
      lab.run(5_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 1);
    }

    /**
     * A start stays under way for 3 s while its repetition has long run and ended. When it arrives
     * the worker has seen that run end, so the task is not run a second time.
     */
    @Test
    public void runsOnceWhenAnOrderArrivesLate() {
      JobLab lab = lab(new LabWorker("w1", 8), new LabWorker("w2", 8));
      boolean[] first = {true};
      lab.late =
          effect -> {
            boolean delay = first[0];
            first[0] = false;
            return delay;
          };
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(6_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 1);
    }

    /**
     * A look is on its way when a run begins, and its answer, made before that, arrives after it
     * without the run. Taken at its word the task would start again beside itself.
     */
    @Test
    public void olderReportsTakeNothingAway() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(300);
      WorkerReport older = new WorkerReport(lab.now, List.of(), List.of());
      lab.post(new JobEvent.WorkerReported(worker.info.id(), lab.now - 200, older));
      lab.run(1_000);
      assertEquals(lab.starts(), 1);
    }

    /**
     * A worker is cut off while it runs a task. The task starts elsewhere only after its lease has
     * certainly ended there; until then it would run twice.
     */
    @Test
    public void waitsOutTheLeaseOfWorkersOutOfReach() {
      LabWorker first = new LabWorker("w1", 8);
      LabWorker second = new LabWorker("w2", 8);
      JobLab lab = lab(first, second);
      lab.workMillis = 60_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(300);
      LabWorker holder = first.count() > 0 ? first : second;
      holder.reachable = false;
      lab.run(LEASE_MILLIS - 1_000);
      assertEquals(lab.starts(), 1);
      lab.run(4_000);
      assertEquals(lab.starts(), 2);
    }

    /**
     * A leader dies with tasks running. The next one finds them on their workers and leaves them
     * alone: their callers see one run of each task.
     */
    @Test
    public void takesOverWithoutStartingAgain() {
      JobLab lab = lab(new LabWorker("w1", 8), new LabWorker("w2", 8));
      lab.workMillis = 3_000;
      JobSpec job = job("a", step(4, 2, List.of()));
      lab.submit(job);
      lab.run(500);
      lab.takeOver();
      lab.run(5_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 4);
    }

    /**
     * A leader dies between storing a placement and sending its order. The next leader asks the
     * worker, does not find the run, and starts the task anew under the next number.
     */
    @Test
    public void startsWhatTheLastLeaderOnlyStored() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.specs.put(job.id(), job);
      lab.stored.put(job.id(), "r\n0 0 0 p 1 0 w1 ");
      lab.takeOver();
      lab.run(2_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(worker.starts.keySet(), Set.of(new RunKey(TaskName.parse("a.0.0.0"), 2)));
    }

    /**
     * A worker dies with its lists after its task was stored on it, and another life registers at
     * its address. What ran there is gone at once and starts elsewhere without a wait for the
     * lease.
     */
    @Test
    public void restartsAtOnceWhenAnotherLifeAnswers() {
      LabWorker first = new LabWorker("w1", 8);
      JobLab lab = lab(first);
      lab.workMillis = 2_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(300);
      first.dead = true;
      LabWorker second = new LabWorker("w2", 8);
      lab.workers.put(second.info.id(), second);
      lab.post(new JobEvent.WorkerSeen(second.info));
      lab.post(new JobEvent.WorkerReborn(first.info.id()));
      lab.run(500);
      assertEquals(second.count(), 1);
    }

    /**
     * A worker crashes and starts again at its address; its old entry leaves the list a little
     * later. Its tasks start at once then, not when the old life's leases would have ended.
     */
    @Test
    public void restartsAtOnceWhenTheAddressIsTakenOver() {
      LabWorker first = new LabWorker("w1", 8);
      JobLab lab = lab(first);
      lab.workMillis = 2_000;
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(300);
      first.dead = true;
      LabWorker second = new LabWorker("w2", 8, first.info.address());
      lab.workers.put(second.info.id(), second);
      lab.post(new JobEvent.WorkerSeen(second.info));
      lab.run(500);
      assertEquals(second.count(), 0);
      lab.post(new JobEvent.WorkerUnlisted(first.info.id()));
      lab.run(500);
      assertEquals(second.count(), 1);
    }
  }

  /** Cancelled jobs. */
  public static class Cancelling {

    @Test
    public void stopsWhatRunsAndStartsNothingMore() {
      LabWorker worker = new LabWorker("w1", 4);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      JobSpec job = job("a", step(6, 2, List.of()));
      lab.submit(job);
      lab.run(300);
      lab.post(new JobEvent.JobCancelled(job.id()));
      lab.run(500);
      assertEquals(worker.count(), 0);
      lab.run(3_000);
      assertEquals(lab.starts(), 2);
      assertEquals(lab.phase(job.id()), JobPhase.CANCELLED);
    }

    /**
     * A job is accepted and cancelled while a new leader reads its tables; the cancellation reaches
     * it first. The caller was told that the job is cancelled, so nothing of it may start.
     */
    @Test
    public void keepsCancellationsThatOvertakeTheirJob() {
      JobLab lab = lab(new LabWorker("w1", 4));
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.post(new JobEvent.JobCancelled(job.id()));
      lab.submit(job);
      lab.run(1_000);
      assertEquals(lab.starts(), 0);
      assertEquals(lab.phase(job.id()), JobPhase.CANCELLED);
    }

    /**
     * A cancelled job's worker is out of reach when the stop is sent and comes back later. The stop
     * goes out again until the run is gone.
     */
    @Test
    public void stopsAgainUntilTheRunIsGone() {
      LabWorker worker = new LabWorker("w1", 4);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      lab.submit(job);
      lab.run(300);
      worker.reachable = false;
      lab.post(new JobEvent.JobCancelled(job.id()));
      lab.run(2_000);
      worker.reachable = true;
      lab.run(2_000);
      assertEquals(worker.count(), 0);
    }
  }

  /** Tasks that fill beside tasks that serve. */
  public static class Sharing {

    private static JobSpec serving(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 18, StepSpec.Trait.LASTS));
    }

    private static JobSpec filling(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 0, StepSpec.Trait.FILLS));
    }

    /**
     * A task that fills pushes a serving task's tail far over its bound. Its pace goes to zero
     * within the next reports; the users of the serving task see a short bump only.
     */
    @Test
    public void haltsWhatPushesTailsOverItsBound() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(filling("f", "batch"));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(1_500);
      assertTrue(
          lab.seen.stream()
              .anyMatch(e -> e instanceof JobEffect.PaceRun pace && pace.percent() == 0));
    }

    /**
     * A tail is over its bound, and the report in between reads just under it. What fills is halted
     * all the same, and no new task that fills joins: it would start at full pace.
     */
    @Test
    public void oneMilderReportEndsNoAlarm() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(filling("f", "batch"));
      worker.loads.put("f", 0.1);
      worker.loads.put("s", 18.5);
      lab.run(600);
      worker.loads.put("s", 17.0);
      lab.run(600);
      worker.loads.put("s", 18.5);
      lab.submit(filling("g", "other"));
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * A serving task is over its bound by its own load. Nothing joins it, as harmless as it may be:
     * it would start at full pace where there is no room for it. It joins once the tail is low.
     */
    @Test
    public void nothingJoinsBesideTailOverItsBound() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      worker.loads.put("s", 18.5);
      lab.run(1_200);
      lab.submit(filling("g", "other"));
      lab.run(1_200);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
      worker.loads.put("s", 5.0);
      lab.run(1_500);
      assertTrue(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * The order to halt a run gets no answer: the run may go on at full pace. The order goes out
     * again with the next report, until it is answered.
     */
    @Test
    public void ordersThePaceAgainWhenTheAnswerIsLost() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(filling("f", "batch"));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(500);
      long before = lab.paces("f.0.0.0");
      lab.post(new JobEvent.PaceLost(worker.info.id(), new RunKey(TaskName.parse("f.0.0.0"), 1)));
      lab.run(1_000);
      assertTrue(lab.paces("f.0.0.0") > before, "orders: " + lab.paces("f.0.0.0"));
    }

    /**
     * A leader halts a run and dies. The next one does not know the pace; it orders full pace once
     * the tails allow it. Otherwise the run would stand still until its job is given up.
     */
    @Test
    public void givesPaceBackAfterTakeover() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(filling("f", "batch"));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(1_000);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      worker.loads.put("s", 5.0);
      lab.takeOver();
      lab.run(3_000);
      assertEquals(lab.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * What fills was halted beside a serving task, and that task's job is cancelled. Nothing needs
     * protection any more; without an order the run would stand still until its job is given up.
     */
    @Test
    public void givesPaceBackWhenNothingServesAnyMore() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      JobSpec serving = serving("s", "web");
      lab.submit(serving);
      lab.run(300);
      lab.submit(filling("f", "batch"));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      lab.post(new JobEvent.JobCancelled(serving.id()));
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * A run is halted beside a serving task, and no other worker has room. It is stopped and waits
     * with its job's urgency; left there, it stood still for as long as other jobs kept coming.
     */
    @Test
    public void stopsWhatIsHaltedThoughNothingElseHasRoom() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 60_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(
          job(
              "f",
              step(
                  1,
                  4,
                  List.of(),
                  0,
                  "batch",
                  0,
                  StepSpec.Trait.FILLS,
                  StepSpec.Trait.CHECKPOINTS)));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(4_000);
      assertFalse(worker.runs(TaskName.parse("f.0.0.0")));
      assertTrue(
          lab.seen.stream()
              .anyMatch(
                  e ->
                      e instanceof JobEffect.StopRun stop
                          && stop.run().task().equals(TaskName.parse("f.0.0.0"))));
    }

    @Test
    public void packsServingTasksOfOneImage() {
      LabWorker first = new LabWorker("w1", 16);
      LabWorker second = new LabWorker("w2", 16);
      JobLab lab = lab(first, second);
      lab.workMillis = 60_000;
      lab.submit(serving("s1", "web"));
      lab.run(200);
      lab.submit(serving("s2", "mail"));
      lab.run(200);
      lab.submit(serving("s3", "web"));
      lab.run(200);
      LabWorker web = first.runs(TaskName.parse("s1.0.0.0")) ? first : second;
      assertTrue(web.runs(TaskName.parse("s3.0.0.0")));
      assertFalse(web.runs(TaskName.parse("s2.0.0.0")));
    }

    /**
     * An image is known to harm all that serves, and most of the workers are idle. Its job still
     * gets a place: its caller would otherwise see it wait for ever beside free workers.
     */
    @Test
    public void harmfulImagesRunWhereMostIsFree() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 3_000;
      lab.submit(serving("s", "web"));
      lab.run(300);
      lab.submit(filling("f1", "batch"));
      worker.loads.put("s", 180.0);
      worker.loads.put("f1", 4_000.0);
      lab.run(3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * Another pool stands idle. That makes no room beside the serving tasks of this one: the
     * harmful image goes on waiting for a harmless place.
     */
    @Test
    public void anotherIdlePoolMakesNoRoom() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker, new LabWorker("x1", 99, "x1:1", "dc", "other"));
      lab.workMillis = 3_000;
      lab.submit(serving("s", "web"));
      lab.submit(serving("t", "web"));
      lab.submit(serving("u", "web"));
      lab.run(300);
      lab.submit(filling("f1", "batch"));
      worker.loads.put("s", 180.0);
      worker.loads.put("f1", 4_000.0);
      lab.run(3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * One pair of images is seen to multiply a tail by ten. From then on tasks of that image wait
     * for another worker instead of joining the serving task again.
     */
    @Test
    public void keepsPairsApartOnceKnownToHurt() {
      LabWorker worker = new LabWorker("w1", 16);
      JobLab lab = lab(worker);
      lab.workMillis = 3_000;
      JobSpec serving = serving("s", "web");
      lab.submit(serving);
      lab.submit(serving("t", "web"));
      lab.submit(serving("u", "web"));
      lab.run(300);
      lab.submit(filling("f1", "batch"));
      worker.loads.put("s", 180.0);
      worker.loads.put("f1", 4_000.0);
      lab.run(3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
      lab.submit(filling("f3", "harmless"));
      lab.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f3.0.0.0")));
    }
  }

  /** Leaders that do not reach their workers. */
  public static class Reaching {

    private static LabWorker in(String dataCentre, String id) {
      return new LabWorker(id, 8, id + ":1", dataCentre);
    }

    private static long handOvers(JobLab lab) {
      return lab.seen.stream().filter(JobEffect.HandOver.class::isInstance).count();
    }

    /**
     * The leader's data centre is cut off from two others, and callers there see their jobs wait
     * for the few workers at hand. It gives the lead away once most workers do not answer.
     */
    @Test
    public void handsOverWhenCutOffFromMostWorkers() {
      LabWorker here = in("a", "w1");
      LabWorker second = in("b", "w2");
      LabWorker third = in("c", "w3");
      JobLab lab = lab(here, second, third);
      lab.submit(job("a", step(3, 8, List.of(), StepSpec.Trait.LASTS)));
      lab.run(4_000);
      assertEquals(handOvers(lab), 0);
      second.reachable = false;
      third.reachable = false;
      lab.run(2_500);
      assertTrue(handOvers(lab) > 0);
    }

    /** Two equal sides: neither reaches more, and the lead must not go to and fro. */
    @Test
    public void staysWhereHalfAnswer() {
      LabWorker here = in("a", "w1");
      LabWorker there = in("b", "w2");
      JobLab lab = lab(here, there);
      lab.submit(job("a", step(2, 8, List.of(), StepSpec.Trait.LASTS)));
      lab.run(4_000);
      there.reachable = false;
      lab.run(4_000);
      assertEquals(handOvers(lab), 0);
    }
  }

  /** Workers that must get nothing. */
  public static class Shunning {

    /**
     * A worker answers well and fails all that it starts. After two jobs it gets no more for a
     * while, and what failed there is tried elsewhere: callers see their jobs complete.
     */
    @Test
    public void suspectsWorkersThatFailEverything() {
      LabWorker bad = new LabWorker("w1", 32);
      LabWorker good = new LabWorker("w2", 16);
      JobLab lab = lab(bad, good);
      bad.failsAll = true;
      for (int i = 0; i < 8; i++) {
        lab.submit(job("a" + i, step(1, 1, List.of())));
        lab.run(1_000);
      }
      lab.run(2_000);
      assertTrue(bad.starts.size() <= 5, "starts on the bad worker: " + bad.starts.size());
      for (int i = 0; i < 8; i++) {
        assertEquals(lab.phase(new JobId("a" + i)), JobPhase.COMPLETE);
      }
    }

    /**
     * A worker answers well and its runs stand still. They are stopped and tried elsewhere; without
     * that their callers would wait for ever.
     */
    @Test
    public void movesRunsThatStandStill() {
      LabWorker bad = new LabWorker("w1", 32);
      LabWorker good = new LabWorker("w2", 16);
      JobLab lab = lab(bad, good);
      bad.stalls = true;
      JobSpec job = job("a", step(1, 1, List.of()));
      lab.submit(job);
      lab.run(8_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
    }

    private static JobEvent draining(LabWorker worker) {
      WorkerInfo info = worker.info;
      return new JobEvent.WorkerSeen(
          new WorkerInfo(
              info.id(),
              info.pool(),
              info.address(),
              info.dataCentre(),
              info.capacity(),
              info.labels(),
              true));
    }

    /**
     * A worker is about to leave with tasks that last, and the leader changes right after. The new
     * one would have to wait out the leases of a worker that it never reached, and the tasks would
     * be away for all that time. They move while the worker drains, as far as there is room.
     */
    @Test
    public void movesLastingTasksOffDrainingWorkers() {
      LabWorker leaving = new LabWorker("w1", 32);
      JobLab lab = lab(leaving);
      lab.workMillis = 60_000;
      lab.submit(job("s", step(3, 4, List.of(), StepSpec.Trait.LASTS)));
      lab.run(500);
      assertEquals(leaving.count(), 3);
      LabWorker other = new LabWorker("w2", 8);
      lab.workers.put(other.info.id(), other);
      lab.post(new JobEvent.WorkerSeen(other.info));
      lab.post(draining(leaving));
      lab.run(1_500);
      assertEquals(other.count(), 2);
      assertEquals(leaving.count(), 1);
    }

    /**
     * The first order to stop is lost on its way to a worker that drains. It goes out again, and
     * all lasting tasks leave in time.
     */
    @Test
    public void lostStopsDoNotHoldLastingTasksOnDrainingWorkers() {
      LabWorker leaving = new LabWorker("w1", 16);
      JobLab lab = lab(leaving);
      lab.workMillis = 60_000;
      lab.submit(job("s", step(2, 4, List.of(), StepSpec.Trait.LASTS)));
      lab.run(500);
      LabWorker other = new LabWorker("w2", 16);
      lab.workers.put(other.info.id(), other);
      lab.post(new JobEvent.WorkerSeen(other.info));
      int[] stops = {0};
      lab.lost =
          effect -> {
            boolean first = effect instanceof JobEffect.StopRun && stops[0] == 0;
            stops[0] += first ? 1 : 0;
            return first;
          };
      lab.post(draining(leaving));
      lab.run(2_500);
      assertEquals(other.count(), 2);
    }

    /**
     * A job that can never run waits for ever. Lasting tasks still leave a worker that drains;
     * otherwise one such job would tie all of them to workers that go.
     */
    @Test
    public void hopelessJobsDoNotHoldLastingTasksOnDrainingWorkers() {
      LabWorker leaving = new LabWorker("w1", 16);
      JobLab lab = lab(leaving);
      lab.workMillis = 60_000;
      lab.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
      lab.submit(job("never", step(1, 99, List.of(), StepSpec.Trait.LASTS)));
      lab.run(500);
      LabWorker other = new LabWorker("w2", 16);
      lab.workers.put(other.info.id(), other);
      lab.post(new JobEvent.WorkerSeen(other.info));
      lab.post(draining(leaving));
      lab.run(1_500);
      assertTrue(other.runs(TaskName.parse("s.0.0.0")));
    }

    @Test
    public void placesNothingOnDrainingWorkers() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      lab.post(draining(worker));
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(1_000);
      assertEquals(lab.starts(), 0);
    }

    @Test
    public void placesNothingOnWorkersOfAnotherPool() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      JobQueue moved = new JobQueue("queue", "host", "/jobs/", "other", 0, 2, 1.5, 250, false);
      lab.table(new JobTable(2, List.of(moved), List.of()));
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(1_000);
      assertEquals(lab.starts(), 0);
    }

    @Test
    public void forgetsWorkersThatLeftEmpty() {
      LabWorker worker = new LabWorker("w1", 8);
      JobLab lab = lab(worker);
      lab.post(new JobEvent.WorkerUnlisted(new WorkerId("w1")));
      lab.submit(job("a", step(1, 2, List.of())));
      lab.run(1_000);
      assertEquals(lab.starts(), 0);
    }
  }
}
