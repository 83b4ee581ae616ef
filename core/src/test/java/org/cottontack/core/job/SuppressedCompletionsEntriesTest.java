package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.submit;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of late acknowledgements where entries of workers are lost or out of date. */
public class SuppressedCompletionsEntriesTest {

  /** How long before a late look a worker is back: too short for its leader to ask it. */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet(int workers) {
    JobSimulation lab = restartingFleet(workers);
    lab.listsCrashedWorkers = true;
    lab.run(1_000);
    return lab;
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker look
        && look.acknowledged() > 0
        && look.target().incarnation().worker().equals(FIRST);
  }

  private static SimulatedWorker first(JobSimulation lab) {
    return lab.workers.get(FIRST);
  }

  private static void until(JobSimulation lab, long millis) {
    lab.run(Math.max(0, millis - lab.now));
  }

  /**
   * Has the next acknowledgement of the first worker's ends carried out so late.
   *
   * @return when it arrives
   */
  private static long acknowledgeLate(JobSimulation lab, long delay) {
    int from = lab.seen.size();
    lab.delay = effect -> acknowledges(effect) ? delay : 0;
    final long latest = lab.now + 60_000;
    while (lab.seen.stream().skip(from).noneMatch(SuppressedCompletionsEntriesTest::acknowledges)) {
      assertTrue(lab.now < latest, "no end is acknowledged");
      lab.run(10);
    }
    final long arrives = lab.now + delay;
    lab.run(10);
    lab.delay = effect -> 0;
    return arrives;
  }

  /** Crashes the first worker so that its next life is there when the acknowledgement arrives. */
  private static void reachNextLife(JobSimulation lab, long arrives) {
    until(lab, arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS);
    lab.crash(first(lab));
    until(lab, arrives);
    lab.run(10);
    assertTrue(first(lab).ageMillis(lab.now) < 100 && first(lab).lastAcknowledgedCompletion() > 0);
  }

  private static Object[][] product(LongStream first, long... second) {
    return first
        .boxed()
        .flatMap(a -> LongStream.of(second).mapToObj(b -> new Object[] {a, b}))
        .toArray(Object[][]::new);
  }

  private static LongStream steps(long from, long to, long by) {
    return LongStream.iterate(from, millis -> millis <= to, millis -> millis + by);
  }

  /** Which lives the next leader knows. */
  public static class Stored {

    /** How long a worker is away, and how long before it is back other work is saved. */
    @DataProvider
    public Object[][] absences() {
      return product(steps(12_500, 16_000, 500), 50, 150, 250, 350);
    }

    private static void away(JobSimulation lab, long away, long lead) {
      SimulatedWorker gone = first(lab);
      lab.listsCrashedWorkers = false;
      lab.restartMillis = away;
      lab.crash(gone);
      lab.post(new JobEvent.WorkerUnlisted(gone.info.incarnation()));
      lab.run(away - lead);
      submit(lab, "other", 1);
      lab.run(lead + 20);
      lab.restartMillis = RESTART_MILLIS;
      lab.listsCrashedWorkers = true;
    }

    private static void assertKnownToNextLeader(JobSimulation lab, String jobs) {
      final List<JobSpec> last = submit(lab, jobs, 4);
      final long arrives = acknowledgeLate(lab, 5_000);
      lab.killLeader();
      lab.run(1_000);
      lab.takeOver();
      reachNextLife(lab, arrives);
      lab.run(2_500);
      final List<JobSpec> after = submit(lab, "after", 6);
      lab.run(40_000);
      assertComplete(lab, last);
      assertComplete(lab, after);
    }

    /** Guards against a life that is no longer stored when ends are acknowledged to it again. */
    @Test(dataProvider = "absences")
    public void storesLifeAnewThatWasAway(long away, long lead) {
      JobSimulation lab = fleet(2);
      submit(lab, "before", 4);
      lab.run(5_000);
      away(lab, away, lead);
      assertKnownToNextLeader(lab, "last");
    }

    /** Guards against the same where an earlier leader has stored the life before. */
    @Test(dataProvider = "absences")
    public void storesInheritedLifeAnewThatWasAway(long away, long lead) {
      JobSimulation lab = fleet(2);
      submit(lab, "before", 4);
      lab.run(5_000);
      lab.killLeader();
      lab.run(1_000);
      lab.takeOver();
      lab.run(100);
      away(lab, away, lead);
      assertKnownToNextLeader(lab, "last");
    }

    /** Guards against the same with a worker that was cut off and comes back as the same life. */
    @Test(dataProvider = "absences")
    public void storesLifeAnewThatWasNotListed(long away, long lead) {
      JobSimulation lab = fleet(2);
      submit(lab, "before", 4);
      lab.run(5_000);
      lab.killLeader();
      lab.run(1_000);
      lab.takeOver();
      lab.run(100);
      lab.post(new JobEvent.WorkerUnlisted(first(lab).info.incarnation()));
      lab.run(away - lead);
      submit(lab, "other", 1);
      lab.run(lead);
      lab.post(new JobEvent.WorkerSeen(first(lab).info));
      assertKnownToNextLeader(lab, "last");
    }

    /** How many lives an earlier leader has stored: more than there is place for. */
    @DataProvider
    public Object[][] lives() {
      return new Object[][] {{600}, {1_100}, {5_000}, {20_000}};
    }

    /** Guards against acknowledgements to a life that found no place in what is stored. */
    @Test(dataProvider = "lives")
    public void acknowledgesNothingToLifeThatIsNotStored(int lives) {
      JobSimulation lab = fleet(1);
      String many =
          IntStream.range(0, lives)
              .mapToObj(i -> "acknowledged other-worker-" + i + " 1700000000000")
              .collect(Collectors.joining("\n"));
      lab.post(new JobEvent.LearnedRecovered(many));
      final List<JobSpec> before = submit(lab, "before", 2);
      assertKnownToNextLeader(lab, "last");
      assertComplete(lab, before);
    }
  }

  /** Entries of other lives than the one that answers. */
  public static class Outdated {

    /** Moments after the first answer of the next life, in milliseconds. */
    @DataProvider
    public Object[][] moments() {
      return product(LongStream.of(3_000, 8_000), steps(0, 1_000, 50).toArray());
    }

    private static long noted(JobSimulation lab, String name) {
      return lab.seen.stream()
          .filter(effect -> effect instanceof JobEffect.Note note && note.name().equals(name))
          .count();
    }

    /** Returns a lab whose leader has marked a life for what a former one sent. */
    private static JobSimulation marked(long delay) {
      JobSimulation lab = fleet(1);
      submit(lab, "before", 2);
      final long arrives = acknowledgeLate(lab, delay);
      lab.killLeader();
      lab.run(1_000);
      lab.takeOver();
      reachNextLife(lab, arrives);
      lab.run(1_510);
      return lab;
    }

    private static void assertDoneOnce(JobSimulation lab) {
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(40_000);
      assertComplete(lab, after);
    }

    /** Guards against a mark that is lost where the entry of the life before comes again. */
    @Test(dataProvider = "moments")
    public void keepsInheritedMarkWhereOldEntryComesAgain(long delay, long moment) {
      JobSimulation lab = marked(delay);
      WorkerInfo entry = first(lab).info;
      lab.run(moment);
      lab.post(new JobEvent.WorkerSeen(entry.withIncarnation(new WorkerIncarnation(FIRST, 1))));
      lab.run(100);
      lab.post(new JobEvent.WorkerSeen(entry));
      lab.run(1_400);
      assertDoneOnce(lab);
    }

    /** Guards against the same where clocks were set back, and the life before was born later. */
    @Test(dataProvider = "moments")
    public void keepsInheritedMarkWhereLaterBirthIsWrong(long delay, long moment) {
      JobSimulation lab = marked(delay);
      WorkerInfo entry = first(lab).info;
      lab.run(moment);
      lab.post(
          new JobEvent.WorkerSeen(
              entry.withIncarnation(new WorkerIncarnation(FIRST, lab.now + 5_000))));
      lab.run(100);
      lab.post(new JobEvent.WorkerSeen(entry));
      lab.run(1_400);
      assertDoneOnce(lab);
    }

    /** Guards against runs that count as lost with their worker where an old entry comes. */
    @Test
    public void losesNoRunToOldEntry() {
      JobSimulation lab = fleet(1);
      WorkerInfo old = first(lab).info;
      lab.crash(first(lab));
      lab.run(RESTART_MILLIS + 3_000);
      final List<JobSpec> jobs = submit(lab, "jobs", 2);
      lab.run(200);
      lab.post(new JobEvent.WorkerSeen(old));
      lab.run(10_000);
      assertComplete(lab, jobs);
      assertEquals(noted(lab, "run.lost"), 0);
      assertEquals(noted(lab, "worker.restarted"), 1);
    }

    /** Returns a lab whose worker has started again, with an earlier birth in its only entry. */
    private static JobSimulation setBack() {
      JobSimulation lab = fleet(1);
      lab.run(1_000);
      WorkerInfo now = first(lab).info;
      WorkerInfo before =
          now.withIncarnation(
              new WorkerIncarnation(FIRST, now.incarnation().startTimeMillis() + 60_000));
      lab.post(new JobEvent.WorkerSeen(before));
      lab.run(10);
      lab.post(
          new JobEvent.WorkerReported(
              before.incarnation(),
              lab.now,
              new WorkerReport(
                  before.incarnation().startTimeMillis(), 1_000, List.of(), List.of())));
      lab.post(new JobEvent.WorkerSeen(now));
      return lab;
    }

    /** Guards against a worker that gets nothing since its clock was set back. */
    @Test
    public void usesLifeWithEarlierBirthThatAnswers() {
      JobSimulation lab = setBack();
      lab.run(100);
      assertEquals(noted(lab, "worker.restarted"), 2);
      final List<JobSpec> jobs = submit(lab, "jobs", 2);
      lab.run(10_000);
      assertComplete(lab, jobs);
    }

    /** Guards against a worker that counts as listed though its entry is gone. */
    @Test
    public void unlistsWorkerWithItsOldEntry() {
      JobSimulation lab = setBack();
      lab.post(new JobEvent.WorkerUnlisted(first(lab).info.incarnation()));
      final List<JobSpec> jobs = submit(lab, "jobs", 1);
      lab.run(5_000);
      assertEquals(lab.starts(), 0);
      lab.post(new JobEvent.WorkerSeen(first(lab).info));
      lab.run(10_000);
      assertComplete(lab, jobs);
    }
  }
}
