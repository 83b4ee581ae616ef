package org.cottontack.core.job;

import java.util.List;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/** Builds workers with running tasks for tests. */
final class TestWorker {

  static final double TARGET_MILLIS = 18;

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  private TestWorker() {}

  static Task serving(String id, String image) {
    return task(id, TestStep.tasks(1).image(image).target(TARGET_MILLIS), StepSpec.Trait.LASTS);
  }

  static Task bestEffort(String id, String image) {
    Task task = task(id, TestStep.tasks(1).image(image), StepSpec.Trait.FILLS);
    task.load = 4_000;
    return task;
  }

  private static Task task(String id, TestStep step, StepSpec.Trait trait) {
    List<StepSpec> steps = List.of(step.cpu(4_000).of(trait));
    JobSpec spec = new JobSpec(new JobId(id), QUEUE, "payload", steps, JobSpec.Schedule.AT_ONCE);
    Job job = new Job(spec, 0);
    job.advance(0);
    Task task = job.tasks().findFirst().orElseThrow();
    task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
    task.order = Task.Order.CONFIRMED;
    task.progress = Task.FULL_PROGRESS;
    return task;
  }

  static Worker with(Task... tasks) {
    return in("pool", tasks);
  }

  static Worker in(String pool, Task... tasks) {
    WorkerInfo info =
        new WorkerInfo(
            WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")),
            pool,
            "w:1",
            new DataCentreId("dc"),
            new Resources(32_000, 100_000, 0),
            List.of(),
            false);
    Worker worker =
        new Worker(
            info,
            new Evacuations(),
            new StoredLeaseEnds(),
            0,
            0,
            new Acknowledgements(),
            new LateLeases());
    worker.registered = true;
    List.of(tasks).forEach(worker::add);
    return worker;
  }
}
