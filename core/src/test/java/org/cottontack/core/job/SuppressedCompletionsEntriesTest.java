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

/** Tests of late acknowledgements when entries of workers are lost or out of date. */
public class SuppressedCompletionsEntriesTest {

  /**
   * Time between a worker's restart and the arrival of a late poll, in milliseconds: too short for
   * its leader to poll it.
   */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet(int workers) {
    JobSimulation simulation = restartingFleet(workers);
    simulation.listsCrashedWorkers = true;
    simulation.run(1_000);
    return simulation;
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker poll
        && poll.acknowledged() > 0
        && poll.target().incarnation().worker().equals(FIRST);
  }

  private static SimulatedWorker first(JobSimulation simulation) {
    return simulation.workers.get(FIRST);
  }

  private static void runUntil(JobSimulation simulation, long millis) {
    simulation.run(Math.max(0, millis - simulation.now));
  }

  /**
   * Delays the next acknowledgement of the first worker's completions.
   *
   * @return when it arrives
   */
  private static long acknowledgeLate(JobSimulation simulation, long delay) {
    int from = simulation.effects.size();
    simulation.delay = effect -> acknowledges(effect) ? delay : 0;
    final long latest = simulation.now + 60_000;
    while (simulation.effects.stream()
        .skip(from)
        .noneMatch(SuppressedCompletionsEntriesTest::acknowledges)) {
      assertTrue(simulation.now < latest, "no completion is acknowledged");
      simulation.run(10);
    }
    final long arrives = simulation.now + delay;
    simulation.run(10);
    simulation.delay = effect -> 0;
    return arrives;
  }

  /**
   * Crashes the first worker so that its next incarnation has started when the acknowledgement
   * arrives.
   */
  private static void reachNextIncarnation(JobSimulation simulation, long arrives) {
    runUntil(simulation, arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS);
    simulation.crash(first(simulation));
    runUntil(simulation, arrives);
    simulation.run(10);
    assertTrue(
        first(simulation).ageMillis(simulation.now) < 100
            && first(simulation).lastAcknowledgedCompletion() > 0);
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

  /** Incarnations that the next leader knows. */
  public static class Stored {

    /** How long a worker is unlisted, and how long before its return other work is saved. */
    @DataProvider
    public Object[][] absences() {
      return product(steps(12_500, 16_000, 500), 50, 150, 250, 350);
    }

    private static void crashAndStayUnlisted(
        JobSimulation simulation, long absentMillis, long leadMillis) {
      SimulatedWorker gone = first(simulation);
      simulation.listsCrashedWorkers = false;
      simulation.restartMillis = absentMillis;
      simulation.crash(gone);
      simulation.post(new JobEvent.WorkerUnlisted(gone.info.incarnation()));
      simulation.run(absentMillis - leadMillis);
      submit(simulation, "other", 1);
      simulation.run(leadMillis + 20);
      simulation.restartMillis = RESTART_MILLIS;
      simulation.listsCrashedWorkers = true;
    }

    private static void assertKnownToNextLeader(JobSimulation simulation, String jobs) {
      final List<JobSpec> last = submit(simulation, jobs, 4);
      final long arrives = acknowledgeLate(simulation, 5_000);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.takeOver();
      reachNextIncarnation(simulation, arrives);
      simulation.run(2_500);
      final List<JobSpec> after = submit(simulation, "after", 6);
      simulation.run(40_000);
      assertComplete(simulation, last);
      assertComplete(simulation, after);
    }

    /**
     * Guards against an incarnation that is no longer stored when completions are acknowledged to
     * it again.
     */
    @Test(dataProvider = "absences")
    public void storesIncarnationAgainAfterAbsence(long absentMillis, long leadMillis) {
      JobSimulation simulation = fleet(2);
      submit(simulation, "before", 4);
      simulation.run(5_000);
      crashAndStayUnlisted(simulation, absentMillis, leadMillis);
      assertKnownToNextLeader(simulation, "last");
    }

    /**
     * Guards against the same failure when an earlier leader has stored the previous incarnation.
     */
    @Test(dataProvider = "absences")
    public void storesInheritedIncarnationAgainAfterAbsence(long absentMillis, long leadMillis) {
      JobSimulation simulation = fleet(2);
      submit(simulation, "before", 4);
      simulation.run(5_000);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.takeOver();
      simulation.run(100);
      crashAndStayUnlisted(simulation, absentMillis, leadMillis);
      assertKnownToNextLeader(simulation, "last");
    }

    /**
     * Guards against the same failure when a worker was cut off and comes back as the same
     * incarnation.
     */
    @Test(dataProvider = "absences")
    public void storesIncarnationAgainAfterBeingUnlisted(long absentMillis, long leadMillis) {
      JobSimulation simulation = fleet(2);
      submit(simulation, "before", 4);
      simulation.run(5_000);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.takeOver();
      simulation.run(100);
      simulation.post(new JobEvent.WorkerUnlisted(first(simulation).info.incarnation()));
      simulation.run(absentMillis - leadMillis);
      submit(simulation, "other", 1);
      simulation.run(leadMillis);
      simulation.post(new JobEvent.WorkerSeen(first(simulation).info));
      assertKnownToNextLeader(simulation, "last");
    }

    /** Number of incarnations that an earlier leader has stored: more than fit into the text. */
    @DataProvider
    public Object[][] incarnationCounts() {
      return new Object[][] {{600}, {1_100}, {5_000}, {20_000}};
    }

    /** Guards against acknowledgements to an incarnation that did not fit into the stored text. */
    @Test(dataProvider = "incarnationCounts")
    public void acknowledgesNothingToUnstoredIncarnation(int incarnations) {
      JobSimulation simulation = fleet(1);
      String many =
          IntStream.range(0, incarnations)
              .mapToObj(i -> "acknowledged other-worker-" + i + " 1700000000000")
              .collect(Collectors.joining("\n"));
      simulation.post(new JobEvent.LearnedRecovered(many));
      final List<JobSpec> before = submit(simulation, "before", 2);
      assertKnownToNextLeader(simulation, "last");
      assertComplete(simulation, before);
    }
  }

  /** Entries of other incarnations than the one that answers. */
  public static class Outdated {

    /**
     * Delays of the acknowledgement, and moments after the first answer of the next incarnation, in
     * milliseconds.
     */
    @DataProvider
    public Object[][] moments() {
      return product(LongStream.of(3_000, 8_000), steps(0, 1_000, 50).toArray());
    }

    private static long countLogged(JobSimulation simulation, String name) {
      return simulation.effects.stream()
          .filter(effect -> effect instanceof JobEffect.Note note && note.name().equals(name))
          .count();
    }

    /**
     * Returns a simulation whose leader has recorded suppressed completions of an incarnation,
     * because of an acknowledgement that the previous leader sent.
     */
    private static JobSimulation withInheritedSuppression(long delay) {
      JobSimulation simulation = fleet(1);
      submit(simulation, "before", 2);
      final long arrives = acknowledgeLate(simulation, delay);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.takeOver();
      reachNextIncarnation(simulation, arrives);
      simulation.run(1_510);
      return simulation;
    }

    private static void assertDoneOnce(JobSimulation simulation) {
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(40_000);
      assertComplete(simulation, after);
    }

    /**
     * Guards against suppressed completions that are forgotten when the entry of the previous
     * incarnation arrives again.
     */
    @Test(dataProvider = "moments")
    public void keepsInheritedSuppressionWhenStaleEntryArrives(long delay, long moment) {
      JobSimulation simulation = withInheritedSuppression(delay);
      WorkerInfo entry = first(simulation).info;
      simulation.run(moment);
      simulation.post(
          new JobEvent.WorkerSeen(entry.withIncarnation(new WorkerIncarnation(FIRST, 1))));
      simulation.run(100);
      simulation.post(new JobEvent.WorkerSeen(entry));
      simulation.run(1_400);
      assertDoneOnce(simulation);
    }

    /**
     * Guards against the same failure when clocks were set back, so that the previous incarnation
     * has the later start time.
     */
    @Test(dataProvider = "moments")
    public void keepsInheritedSuppressionWhenStartTimeIsTooLate(long delay, long moment) {
      JobSimulation simulation = withInheritedSuppression(delay);
      WorkerInfo entry = first(simulation).info;
      simulation.run(moment);
      simulation.post(
          new JobEvent.WorkerSeen(
              entry.withIncarnation(new WorkerIncarnation(FIRST, simulation.now + 5_000))));
      simulation.run(100);
      simulation.post(new JobEvent.WorkerSeen(entry));
      simulation.run(1_400);
      assertDoneOnce(simulation);
    }

    /** Guards against runs that count as lost with their worker when a stale entry arrives. */
    @Test
    public void losesNoRunToStaleEntry() {
      JobSimulation simulation = fleet(1);
      WorkerInfo staleEntry = first(simulation).info;
      simulation.crash(first(simulation));
      simulation.run(RESTART_MILLIS + 3_000);
      final List<JobSpec> jobs = submit(simulation, "jobs", 2);
      simulation.run(200);
      simulation.post(new JobEvent.WorkerSeen(staleEntry));
      simulation.run(10_000);
      assertComplete(simulation, jobs);
      assertEquals(countLogged(simulation, "run.lost"), 0);
      assertEquals(countLogged(simulation, "worker.restarted"), 1);
    }

    /**
     * Returns a simulation whose worker has started again, with an earlier start time in its only
     * entry.
     */
    private static JobSimulation clockSetBack() {
      JobSimulation simulation = fleet(1);
      simulation.run(1_000);
      WorkerInfo now = first(simulation).info;
      WorkerInfo before =
          now.withIncarnation(
              new WorkerIncarnation(FIRST, now.incarnation().startTimeMillis() + 60_000));
      simulation.post(new JobEvent.WorkerSeen(before));
      simulation.run(10);
      simulation.post(
          new JobEvent.WorkerReported(
              before.incarnation(),
              simulation.now,
              new WorkerReport(
                  before.incarnation().startTimeMillis(), 1_000, List.of(), List.of())));
      simulation.post(new JobEvent.WorkerSeen(now));
      return simulation;
    }

    /** Guards against a worker that gets no work because its clock was set back. */
    @Test
    public void usesAnsweringIncarnationWithEarlierStartTime() {
      JobSimulation simulation = clockSetBack();
      simulation.run(100);
      assertEquals(countLogged(simulation, "worker.restarted"), 2);
      final List<JobSpec> jobs = submit(simulation, "jobs", 2);
      simulation.run(10_000);
      assertComplete(simulation, jobs);
    }

    /** Guards against a worker that counts as listed although its entry is gone. */
    @Test
    public void unlistsWorkerWithItsStaleEntry() {
      JobSimulation simulation = clockSetBack();
      simulation.post(new JobEvent.WorkerUnlisted(first(simulation).info.incarnation()));
      final List<JobSpec> jobs = submit(simulation, "jobs", 1);
      simulation.run(5_000);
      assertEquals(simulation.starts(), 0);
      simulation.post(new JobEvent.WorkerSeen(first(simulation).info));
      simulation.run(10_000);
      assertComplete(simulation, jobs);
    }
  }
}
