package org.cottontack.core.job;

import java.util.List;

/** Jobs, rules and labs that tests of a leader's decisions share. */
final class JobFixtures {

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

  static JobLab lab(LabWorker... workers) {
    JobLab lab = new JobLab(workers);
    lab.table(TABLE);
    lab.run(200);
    return lab;
  }

  private JobFixtures() {}
}
