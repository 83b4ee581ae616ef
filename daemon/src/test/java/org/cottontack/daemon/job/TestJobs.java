package org.cottontack.daemon.job;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobQueue;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.StepSpec;

/** Builds jobs for tests. */
final class TestJobs {

  static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  static final Instance INSTANCE = new Instance("instance", "dc", new Capacity(1_000, 100_000));

  private TestJobs() {}

  /** Returns a text that cannot be compressed to half its length. */
  static String randomText(int length) {
    return new Random(3)
        .ints(length, '0', 'z')
        .mapToObj(c -> String.valueOf((char) c))
        .collect(Collectors.joining());
  }

  static JobSpec withPayload(JobId id, String payload) {
    JobSpec job = job(id, 1);
    return new JobSpec(id, QUEUE, payload, job.steps(), job.schedule());
  }

  static JobSpec job(JobId id, int tasks) {
    StepSpec step =
        new StepSpec(
            tasks,
            new Resources(500, 64, 0),
            900,
            List.of(),
            List.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            "",
            0,
            0);
    return new JobSpec(id, QUEUE, "payload", List.of(step), JobSpec.Schedule.AT_ONCE);
  }
}
