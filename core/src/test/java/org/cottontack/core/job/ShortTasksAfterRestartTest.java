package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of short tasks on workers that have restarted and may not list the completions of their
 * first runs.
 */
public class ShortTasksAfterRestartTest {

  /** Time until another instance takes over from a leader that is killed, in milliseconds. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time in which a job is complete once nothing keeps its tasks back, in milliseconds. */
  private static final long JOB_MILLIS = 5_000;

  /** Time between a worker's restart and the arrival of a late poll, in milliseconds. */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static JobSpec jobOf(String id, int tasks, long millis) {
    return job(id, TestStep.tasks(tasks).estimate(millis).of());
  }

  private static List<JobSpec> submit(
      JobSimulation simulation, String name, int count, int tasks, long millis) {
    List<JobSpec> jobs =
        IntStream.range(0, count).mapToObj(i -> jobOf(name + i, tasks, millis)).toList();
    jobs.forEach(simulation::submit);
    return jobs;
  }

  private static boolean acknowledges(JobEffect effect, long number) {
    return effect instanceof JobEffect.LookAtWorker poll && poll.acknowledged() >= number;
  }

  /** Runs until completions up to a number are acknowledged. */
  private static void awaitAcknowledgement(JobSimulation simulation, long number) {
    BooleanSupplier sent =
        () -> simulation.effects.stream().anyMatch(effect -> acknowledges(effect, number));
    for (int i = 0; i < 1_000 && !sent.getAsBoolean(); i++) {
      simulation.run(10);
    }
    assertTrue(sent.getAsBoolean());
  }

  private static void changeLeaders(JobSimulation simulation, int changes) {
    for (int i = 0; i < changes; i++) {
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
    }
  }

  /** Returns all combinations of some values. */
  private static Object[][] combine(List<?> first, List<?> second, List<?> third) {
    return first.stream()
        .<Object[]>flatMap(
            one ->
                second.stream()
                    .flatMap(two -> third.stream().map(three -> new Object[] {one, two, three})))
        .toArray(Object[][]::new);
  }

  /** Workers that were lost together with the leader; no order reaches them late. */
  public static class LostWithLeader {

    /** Numbers of workers, durations of tasks in milliseconds, and numbers of changes of leader. */
    @DataProvider
    public Object[][] fleets() {
      return combine(
          List.of(1, 4, 8), List.of(10L, 40L, 60L, 100L, 200L, 300L, 390L), List.of(1, 2));
    }

    private static JobSimulation afterLoss(int workers, long millis, int changes) {
      JobSimulation simulation = restartingFleet(workers);
      simulation.listsCrashedWorkers = true;
      simulation.workMillis = millis;
      simulation.run(1_000);
      submit(simulation, "before", 2 * workers, 3, millis);
      awaitAcknowledgement(simulation, 1);
      submit(simulation, "interrupted", workers, 3, millis);
      List.copyOf(simulation.workers.values()).forEach(simulation::crash);
      changeLeaders(simulation, changes);
      return simulation;
    }

    /** Guards against short tasks that wait for a completion which only longer tasks could show. */
    @Test(dataProvider = "fleets")
    public void startAfterAllLeases(int workers, long millis, int changes) {
      JobSimulation simulation = afterLoss(workers, millis, changes);
      List<JobSpec> after = submit(simulation, "after", workers, 2, millis);
      simulation.run(LateStart.LATEST_MILLIS + JOB_MILLIS);
      assertComplete(simulation, after);
    }

    /** Guards against short tasks that wait behind services, which never show a completion. */
    @Test(dataProvider = "fleets")
    public void startBesideServices(int workers, long millis, int changes) {
      JobSimulation simulation = afterLoss(workers, millis, changes);
      JobSpec service = job("service", TestStep.tasks(workers).of(StepSpec.Trait.LASTS));
      simulation.workMillisOf.put(service.id(), () -> 600_000);
      simulation.submit(service);
      simulation.run(RESTART_MILLIS);
      List<JobSpec> after = submit(simulation, "after", workers, 2, millis);
      simulation.run(LateStart.LATEST_MILLIS + JOB_MILLIS);
      assertComplete(simulation, after);
    }
  }

  /** Workers that were told to drop their first completions. */
  public static class LateAcknowledgements {

    /** Shortest duration of the tasks whose completions are acknowledged late, in milliseconds. */
    private static final long MIN_FIRST_MILLIS = 60;

    /** Numbers of dropped completions, durations in milliseconds, and changes of leader. */
    @DataProvider
    public Object[][] acknowledgements() {
      return combine(List.of(6, 20), List.of(60L, 100L, 200L, 300L, 390L), List.of(0, 1, 2));
    }

    /** Durations and estimates in milliseconds, and changes of leader. */
    @DataProvider
    public Object[][] estimates() {
      return combine(List.of(10L, 20L, 60L, 140L), List.of(120L, 380L, 900L), List.of(0, 1, 2));
    }

    /** Guards against a short task that is done, is not listed as done and runs again. */
    @Test(dataProvider = "acknowledgements")
    public void runNoShortTaskAgain(int dropped, long millis, int changes) {
      runNothingAgain(restartingFleet(1), dropped, millis, millis, changes);
    }

    /** Guards against a run that is done within its lease because the estimate is far too high. */
    @Test(dataProvider = "estimates")
    public void runNoTaskAgainThatEndsBeforeItsEstimate(long millis, long estimate, int changes) {
      runNothingAgain(restartingFleet(1), 20, millis, estimate, changes);
    }

    /** Guards against leases that never suffice where orders take long, or last far longer. */
    @Test
    public void runNothingAgainWhereOrdersTakeLong() {
      for (long delayMillis = 5; delayMillis <= 25; delayMillis += 5) {
        JobSimulation simulation = restartingFleet(1);
        simulation.oneWayDelayMillis = delayMillis;
        runNothingAgain(simulation, 6, 3 * delayMillis, 380, 0);
      }
    }

    /** Guards against a lease that has grown while orders were slow and outlasts a quick start. */
    @Test
    public void runNothingAgainOnceOrdersArriveQuickly() {
      for (long slowMillis = 0; slowMillis <= 2_000; slowMillis += 20) {
        JobSimulation simulation = restartingFleet(1);
        final long until = slowMillis;
        runNothingAgain(
            simulation,
            20,
            60,
            380,
            0,
            () -> {
              simulation.oneWayDelayMillis = 40;
              simulation.after(until, () -> simulation.oneWayDelayMillis = 2);
            });
      }
    }

    private static void runNothingAgain(
        JobSimulation simulation, int dropped, long millis, long estimate, int changes) {
      runNothingAgain(simulation, dropped, millis, estimate, changes, () -> {});
    }

    private static void runNothingAgain(
        JobSimulation simulation,
        int dropped,
        long millis,
        long estimate,
        int changes,
        Runnable onSubmit) {
      simulation.listsCrashedWorkers = true;
      simulation.workMillis = Math.max(MIN_FIRST_MILLIS, millis);
      simulation.run(1_000);
      final long delay = 3_000;
      simulation.delay = effect -> acknowledges(effect, dropped) ? delay : 0;
      final List<JobSpec> before = submit(simulation, "before", dropped, 1, estimate);
      awaitAcknowledgement(simulation, dropped);
      simulation.run(10);
      simulation.delay = effect -> 0;
      simulation.run(delay - 20 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      simulation.crash(simulation.workers.values().iterator().next());
      simulation.run(RESTART_MILLIS + 2 * BACK_BEFORE_MILLIS);
      assertTrue(
          simulation.workers.values().iterator().next().lastAcknowledgedCompletion() >= dropped);
      simulation.workMillis = millis;
      // Only their leases end the runs in time.
      simulation.lost = JobEffect.StopRun.class::isInstance;
      changeLeaders(simulation, changes);
      simulation.run(1_500);
      onSubmit.run();
      final List<JobSpec> after = submit(simulation, "after", 3, 2, estimate);
      simulation.run(Fleet.MAX_LEASE_MILLIS + 500L * dropped + JOB_MILLIS);
      assertComplete(simulation, Stream.concat(before.stream(), after.stream()).toList());
    }
  }
}
