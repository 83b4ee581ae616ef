package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of the order in which waiting jobs get workers. */
public class UrgencyTest {

  private static final JobQueue QUEUE =
      new JobQueue("batch", "host", "/jobs/", "pool", 2, 3, 2.0, 1_000, false);

  private static JobSpec job(String id, int count, long millis, StepSpec.Trait... traits) {
    StepSpec step = TestStep.tasks(count).estimate(millis).of(traits);
    return new JobSpec(new JobId(id), QUEUE, "payload", List.of(step), JobSpec.Schedule.AT_ONCE);
  }

  private static Job waiting(String id, int count, long millis, long arrivedMillis) {
    Job job = new Job(job(id, count, millis), arrivedMillis);
    job.advance(0);
    return job;
  }

  private static Job longRunning(String id, long arrivedMillis) {
    Job job = new Job(job(id, 4, 0, StepSpec.Trait.LASTS), arrivedMillis);
    job.advance(0);
    return job;
  }

  private static List<String> order(List<Job> jobs, long nowMillis) {
    return new Urgency(new DurationEstimates())
        .order(jobs, nowMillis).stream().map(job -> job.spec.id().value()).toList();
  }

  /** The order of jobs. */
  public static class Order {

    @Test
    public void placesSmallBeforeLarge() {
      List<Job> jobs = List.of(waiting("large", 20, 2_000, 0), waiting("small", 4, 2_000, 0));
      assertEquals(order(jobs, 0), List.of("small", "large"));
    }

    @Test
    public void placesLessTimeLeftBeforeMore() {
      List<Job> jobs = List.of(waiting("fresh", 8, 2_000, 2_500), waiting("old", 8, 2_000, 0));
      assertEquals(order(jobs, 2_500), List.of("old", "fresh"));
    }

    @Test
    public void placesInTimeBeforeLateBeforeTooLate() {
      List<Job> jobs =
          List.of(
              waiting("tooLate", 8, 2_000, 0),
              waiting("late", 8, 2_000, 10_000),
              waiting("inTime", 8, 2_000, 20_000));
      assertEquals(order(jobs, 20_000), List.of("inTime", "late", "tooLate"));
    }

    /**
     * A new service would use, for minutes, the capacity that short jobs wait for, so it comes
     * after them. A service that has lost a task comes before them, and so does one that has waited
     * long.
     */
    @Test
    public void placesNewServicesAfterShortJobs() {
      Job running = longRunning("running", 19_000);
      running.begun = true;
      List<Job> jobs =
          List.of(
              longRunning("new", 19_000),
              longRunning("waited", 9_000),
              waiting("hopeless", 4, 1_000, 0),
              waiting("short", 4, 1_000, 19_500),
              running);
      assertEquals(order(jobs, 20_000), List.of("running", "waited", "short", "new", "hopeless"));
    }

    /** Guards against a service that lost its task with its leader and waits like a new one. */
    @Test
    public void placesServicesOfEarlierLeadersBeforeShortJobs() {
      Job placedEarlier = longRunning("placedEarlier", 19_000);
      placedEarlier.placedEarlier = true;
      List<Job> jobs = List.of(waiting("short", 4, 1_000, 19_500), placedEarlier);
      assertEquals(order(jobs, 20_000), List.of("placedEarlier", "short"));
    }

    /** A large job that is nearly done is placed before a new one of half its size. */
    @Test
    public void placesNearlyDoneBeforeNew() {
      Job nearly = waiting("nearly", 20, 2_000, 0);
      nearly.tasks().skip(2).forEach(task -> task.phase = Task.Phase.DONE);
      assertEquals(
          order(List.of(waiting("new", 10, 2_000, 0), nearly), 0), List.of("nearly", "new"));
    }
  }

  /** A burst of more work than the workers can do. */
  public static class Overload {

    private static final int CORES = 40;
    private static final long STEP_MILLIS = 100;

    /**
     * Callers submit nearly twice the work that fits for 30 s. Ordered by deadline, 38 of the 60
     * jobs are in time, because large jobs use the workers until small ones have no time left.
     * Ordered by urgency 44 are, and a large one is among them, so large jobs are not starved.
     */
    @Test
    public void keepsMostJobsInTime() {
      Random random = new Random(3);
      List<Job> jobs = new ArrayList<>();
      List<Job> inTime = new ArrayList<>();
      List<Job> open = new ArrayList<>();
      for (long now = 0; now < 30_000; now += STEP_MILLIS) {
        if (now % 500 == 0) {
          int count = 2 + (int) (random.nextDouble() * random.nextDouble() * 70);
          Job job = waiting("j" + now, count, 2_000, now);
          jobs.add(job);
          open.add(job);
        }
        work(open, now);
        for (Job job : List.copyOf(open)) {
          if (job.finished()) {
            open.remove(job);
            if (now - job.arrivedMillis <= 5_000) {
              inTime.add(job);
            }
          }
        }
      }
      long large = inTime.stream().filter(job -> job.spec.steps().get(0).count() > 30).count();
      assertTrue(inTime.size() > 0.7 * jobs.size(), inTime.size() + " of " + jobs.size());
      assertTrue(large > 0, "no large job was in time");
    }

    /** Gives the cores to tasks in order. Each of these tasks advances by one step. */
    private static void work(List<Job> open, long now) {
      int free = CORES;
      for (Job job : new Urgency(new DurationEstimates()).order(open, now)) {
        for (Task task : job.tasks().filter(t -> t.phase != Task.Phase.DONE).toList()) {
          if (free == 0) {
            return;
          }
          free--;
          task.phase = Task.Phase.PLACED;
          task.progress += (int) (100 * STEP_MILLIS / 2_000);
          if (task.progress >= 100) {
            task.phase = Task.Phase.DONE;
          }
        }
      }
    }
  }
}
