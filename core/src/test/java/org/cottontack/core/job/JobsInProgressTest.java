package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of which jobs are finished before others begin. */
public class JobsInProgressTest {

  private static Job job(String id, String image, JobPhase phase) {
    StepSpec step = TestStep.tasks(2).image(image).of(StepSpec.Trait.FILLS);
    Job job = new Job(JobFixtures.job(id, step), 0);
    job.advance(0);
    job.phase = phase;
    return job;
  }

  private static JobSpec lessUrgent(String id) {
    JobSpec spec = JobFixtures.job(id, TestStep.tasks(1).of());
    JobQueue queue = spec.queue();
    JobQueue lower =
        new JobQueue(
            "lower",
            queue.host(),
            queue.prefix(),
            queue.pool(),
            queue.priority() + 1,
            queue.maxAttempts(),
            queue.stretch(),
            queue.targetMillis(),
            queue.advised());
    return new JobSpec(spec.id(), lower, spec.payload(), spec.steps(), spec.schedule());
  }

  private static List<String> order(List<Job> ranked, boolean useful) {
    return JobsInProgress.order(ranked, job -> useful).stream()
        .map(job -> job.spec.id().value())
        .toList();
  }

  /** A new job that is more urgent than a started one of its image. */
  public static class SameImage {

    private static final List<Job> RANKED =
        List.of(
            job("new", "a", JobPhase.QUEUED),
            job("other", "b", JobPhase.QUEUED),
            job("started", "a", JobPhase.RUNNING));

    /** Guards against a burst that begins many jobs of an image and finishes none in time. */
    @Test
    public void waitsForTheJobInProgress() {
      assertEquals(order(RANKED, true), List.of("other", "started", "new"));
    }

    /** Guards against jobs that wait for one that is useless to its caller. */
    @Test
    public void doesNotWaitForUselessJob() {
      assertEquals(order(RANKED, false), List.of("new", "other", "started"));
    }

    /** Guards against useless jobs, and jobs of a lower priority, that take the places first. */
    @Test
    public void waitsForNothingUselessOrLessUrgent() {
      Job less = new Job(lessUrgent("less"), 0);
      less.advance(0);
      List<Job> ranked =
          List.of(
              job("new", "a", JobPhase.QUEUED),
              job("started", "a", JobPhase.RUNNING),
              job("useless", "b", JobPhase.QUEUED),
              less);
      assertEquals(
          JobsInProgress.order(ranked, job -> !job.spec.id().value().equals("useless")).stream()
              .map(job -> job.spec.id().value())
              .toList(),
          List.of("started", "new", "useless", "less"));
    }

    /** Guards against jobs that wait for one that has all the places it can use. */
    @Test
    public void doesNotWaitForJobWithoutWaitingTasks() {
      Job placed = job("placed", "a", JobPhase.RUNNING);
      placed.tasks().forEach(task -> task.phase = Task.Phase.PLACED);
      assertEquals(
          order(List.of(job("new", "a", JobPhase.QUEUED), placed), true), List.of("new", "placed"));
    }
  }
}
