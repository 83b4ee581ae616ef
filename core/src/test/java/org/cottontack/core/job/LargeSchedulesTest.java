package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of jobs with many occurrences whose times have passed. */
public class LargeSchedulesTest {

  /** Time until another instance takes over from a leader that is killed, in milliseconds. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time in which a task starts on a free worker, in milliseconds. */
  private static final long START_MILLIS = 300;

  private static final int WORKERS = 4;
  private static final int CORES = 16;

  private static JobSimulation fleet() {
    return JobFixtures.simulation(
        IntStream.range(0, WORKERS)
            .mapToObj(i -> SimulatedWorker.withUniqueIdentifier("w" + i, CORES))
            .toArray(SimulatedWorker[]::new));
  }

  /** Returns a job whose last occurrence is due at a time. */
  private static JobSpec schedule(
      String id, int times, long intervalMillis, long lastMillis, StepSpec... steps) {
    long first = lastMillis - (times - 1) * intervalMillis;
    return new JobSpec(
        new JobId(id),
        JobFixtures.QUEUE,
        "payload",
        List.of(steps),
        new JobSpec.Schedule(first, intervalMillis, times));
  }

  private static void takeOver(JobSimulation simulation) {
    simulation.killLeader();
    simulation.run(TAKEOVER_MILLIS);
    simulation.takeOver();
  }

  /** Numbers of occurrences, and the times between them in milliseconds. */
  @DataProvider
  public static Object[][] schedules() {
    return Stream.of(1_000, 43_200, 1_000_000)
        .flatMap(
            times -> Stream.of(1L, 60_000L).map(interval -> new Object[] {times + 1, interval}))
        .toArray(Object[][]::new);
  }

  /** What a job costs its leader. */
  public static class Costs {

    /** Guards against tasks of all due occurrences that are held in memory at once. */
    @Test(dataProvider = "schedules", dataProviderClass = LargeSchedulesTest.class)
    public void ofTasksHeldDoNotGrow(int times, long interval) {
      Job job = new Job(schedule("job", times, interval, 0, step(2, 1, List.of())), 0);
      job.advance(0);
      assertEquals(job.tasks().count(), Job.MAX_READY);
      for (int i = 0; i < 40; i++) {
        job.tasks().limit(20).forEach(task -> task.phase = Task.Phase.DONE);
        job.advance(0);
        assertEquals(job.tasks().count(), Job.MAX_READY);
      }
    }

    /** Guards against occurrences that all wait for one whose tasks run for long. */
    @Test
    public void ofTasksHeldAreBoundedWhereSomeRunLong() {
      Job job = new Job(schedule("job", 100_000, 1, 0, step(50, 1, List.of())), 0);
      for (int i = 0; i < 2_000; i++) {
        job.advance(0);
        job.open()
            .forEach(
                occurrence -> {
                  occurrence.tasks().forEach(task -> task.phase = Task.Phase.DONE);
                  occurrence.tasks().findFirst().orElseThrow().phase = Task.Phase.PLACED;
                });
      }
      assertEquals(job.tasks().count(), Job.MAX_OPEN_TASKS);
    }

    private static long[] examined(int times, long interval) {
      JobSimulation simulation = fleet();
      simulation.submit(
          schedule("schedule", times, interval, simulation.now, step(1, 1, List.of())));
      simulation.run(2_000);
      final long before = simulation.placementWork().examined();
      takeOver(simulation);
      simulation.run(2_000);
      return new long[] {before, simulation.placementWork().examined()};
    }

    /** Guards against decisions and takeovers that cost more the more occurrences are due. */
    @Test(dataProvider = "schedules", dataProviderClass = LargeSchedulesTest.class)
    public void ofDecisionsDoNotGrow(int times, long interval) {
      assertEquals(examined(times, interval), examined(1_001, interval));
    }

    /** Guards against rows that grow with the number of occurrences that are done. */
    @Test(dataProvider = "schedules", dataProviderClass = LargeSchedulesTest.class)
    public void ofRowsDoNotGrow(int times, long interval) {
      JobSimulation simulation = fleet();
      JobSpec spec = schedule("schedule", times, interval, simulation.now, step(1, 1, List.of()));
      simulation.workMillis = 100;
      simulation.submit(spec);
      long most = 0;
      for (int i = 0; i < 20; i++) {
        simulation.run(250);
        most = Math.max(most, simulation.stored.lines(spec.id()).count());
      }
      assertTrue(most <= 2 * WORKERS * CORES + Job.MAX_READY, "lines: " + most);
    }
  }

  /** Occurrences and their tasks. */
  public static class Occurrences {

    private static final int TIMES = 1_500;

    /** Guards against occurrences that are left out, or run again, over changes of leaders. */
    @Test
    public void runOnceOverChangesOfLeaders() {
      JobSimulation simulation = fleet();
      simulation.workMillis = 100;
      JobSpec spec =
          schedule(
              "schedule", TIMES, 10, simulation.now, step(2, 1, List.of()), step(1, 1, List.of(0)));
      simulation.submit(spec);
      for (int i = 0; i < 4; i++) {
        simulation.run(700 + 130 * i);
        takeOver(simulation);
      }
      simulation.run(60_000);
      assertComplete(simulation, List.of(spec));
      assertEquals(simulation.starts(), 3 * TIMES);
    }

    /** Guards against occurrences that start before they are due, or late on free workers. */
    @Test
    public void startWhenTheyAreDue() {
      JobSimulation simulation = fleet();
      simulation.workMillis = 50;
      final long first = simulation.now + 1_000;
      JobSpec spec = schedule("schedule", 2_000, 20, first + 1_999 * 20, step(1, 1, List.of()));
      simulation.submit(spec);
      simulation.run(50_000);
      assertComplete(simulation, List.of(spec));
      simulation
          .incarnations()
          .flatMap(worker -> worker.startedMillis.entrySet().stream())
          .forEach(
              start -> {
                long due = first + 20L * start.getKey().task().step().occurrence();
                assertTrue(start.getValue() >= due, start.getKey() + " before its time");
                assertTrue(start.getValue() <= due + START_MILLIS, start.getKey() + " late");
              });
    }

    /** Guards against occurrences of a cancelled job that go on. */
    @Test
    public void endWithTheirJob() {
      JobSimulation simulation = fleet();
      JobSpec spec = schedule("schedule", 1_000_000, 1, simulation.now, step(1, 1, List.of()));
      simulation.submit(spec);
      simulation.run(3_000);
      simulation.post(new JobEvent.JobCancelled(spec.id()));
      simulation.run(1_000);
      final int starts = simulation.starts();
      simulation.run(3_000);
      assertEquals(simulation.starts(), starts);
      assertEquals(simulation.phase(spec.id()), JobPhase.CANCELLED);
      assertTrue(simulation.workers.values().stream().allMatch(worker -> worker.runs().isEmpty()));
    }

    /** Guards against long-running tasks that hold back those of later occurrences. */
    @Test
    public void ofLongRunningTasksAllStart() {
      JobSimulation simulation = fleet();
      simulation.workMillis = 600_000;
      StepSpec service = TestStep.tasks(1).cpu(10).of(StepSpec.Trait.LASTS);
      simulation.submit(schedule("schedule", 1_200, 1, simulation.now, service));
      simulation.run(5_000);
      assertEquals(simulation.starts(), 1_200);
    }
  }

  /** Jobs beside large schedules. */
  public static class OtherJobs {

    /** Guards against jobs that wait while the occurrences of others are looked at. */
    @Test
    public void startAtOnceOnFreeWorkers() {
      JobSimulation simulation = fleet();
      JobQueue urgent = new JobQueue("urgent", "host", "/urgent/", "pool", 0, 2, 1.5, 250, false);
      JobQueue other = new JobQueue("other", "host", "/other/", "pool", 2, 2, 1.5, 250, false);
      simulation.table(new JobTable(2, List.of(urgent, other), List.of()));
      for (int i = 0; i < 3; i++) {
        JobSpec spec =
            schedule("schedule" + i, 1_000_000, 1, simulation.now, step(1, 1, List.of()));
        simulation.submit(new JobSpec(spec.id(), other, "payload", spec.steps(), spec.schedule()));
      }
      simulation.run(2_000);
      List<JobSpec> jobs = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        JobSpec spec = job("urgent" + i, step(1, 1, List.of()));
        spec = new JobSpec(spec.id(), urgent, "payload", spec.steps(), spec.schedule());
        simulation.submit(spec);
        jobs.add(spec);
        // A task of a schedule ends, and its place is free.
        simulation.run(simulation.workMillis + START_MILLIS);
        assertEquals(simulation.startsOf(TaskName.parse(spec.id().value() + ".0.0.0")), 1);
      }
      simulation.run(2_000);
      assertComplete(simulation, jobs);
    }
  }
}
