package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;

/** Jobs, rules and simulations shared by tests of a leader's decisions. */
final class JobFixtures {

  /** Typical time until a crashed worker answers again, in milliseconds. */
  static final long RESTART_MILLIS = 600;

  static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);
  static final JobTable TABLE = new JobTable(1, List.of(QUEUE), List.of());

  static StepSpec step(int count, long cores, List<Integer> after, StepSpec.Trait... traits) {
    return step(count, cores, after, 0, "", 0, traits);
  }

  static StepSpec step(
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

  static JobSpec job(String id, StepSpec... steps) {
    return new JobSpec(new JobId(id), QUEUE, "payload", List.of(steps), JobSpec.Schedule.AT_ONCE);
  }

  static JobSimulation simulation(SimulatedWorker... workers) {
    JobSimulation simulation = new JobSimulation(workers);
    simulation.table(TABLE);
    simulation.run(200);
    return simulation;
  }

  /** Returns a simulation whose workers restart soon after a crash, under their old identifiers. */
  static JobSimulation restartingFleet(int workers) {
    JobSimulation simulation =
        simulation(
            IntStream.range(0, workers)
                .mapToObj(i -> new SimulatedWorker("w" + i, 8))
                .toArray(SimulatedWorker[]::new));
    simulation.keepsIds = true;
    simulation.restartMillis = RESTART_MILLIS;
    return simulation;
  }

  /** Submits jobs of three tasks each. */
  static List<JobSpec> submit(JobSimulation simulation, String name, int count) {
    List<JobSpec> jobs =
        IntStream.range(0, count).mapToObj(i -> job(name + i, step(3, 2, List.of()))).toList();
    jobs.forEach(simulation::submit);
    return jobs;
  }

  static void assertComplete(JobSimulation simulation, List<JobSpec> jobs) {
    jobs.forEach(
        job -> assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE, job.id().value()));
  }

  private JobFixtures() {}
}
