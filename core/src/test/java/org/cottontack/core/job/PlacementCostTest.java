package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the work that placement passes do, counted in operations. */
public class PlacementCostTest {

  private static final int CORES = 8;
  private static final long LONG_MILLIS = 600_000;

  /** Numbers of workers, up to the size to design for. */
  @DataProvider
  public static Object[][] fleets() {
    return new Object[][] {{50}, {245}, {470}};
  }

  private static JobSimulation fleet(int workers) {
    JobSimulation simulation =
        simulation(
            IntStream.range(0, workers)
                .mapToObj(number -> new SimulatedWorker("w" + number, CORES))
                .toArray(SimulatedWorker[]::new));
    simulation.maxWaitMillis = 500;
    simulation.workMillis = LONG_MILLIS;
    return simulation;
  }

  private static JobSimulation fullFleet(int workers) {
    JobSimulation simulation = fleet(workers);
    simulation.submit(job("full", step(workers, CORES, List.of())));
    simulation.run(400);
    assertEquals(simulation.starts(), workers);
    return simulation;
  }

  private static PlacementWork workOf(JobSimulation simulation, Runnable action) {
    PlacementWork before = simulation.placementWork();
    action.run();
    return simulation.placementWork().since(before);
  }

  private static void report(JobSimulation simulation, String worker) {
    SimulatedWorker from = simulation.workers.get(new WorkerId(worker));
    simulation.post(
        new JobEvent.WorkerReported(
            from.info.incarnation(), simulation.now, from.report(simulation.now)));
  }

  /** Tasks that wait while the fleet is full. */
  public static class Waiting {

    private static final int STEPS = 60;

    /** Submits jobs of which no worker has room for a task; each needs a search of its own. */
    private static void submitWaiting(JobSimulation simulation) {
      IntStream.range(0, STEPS)
          .mapToObj(number -> job("waits" + number, step(4, 2, List.of(), 0, "image" + number, 0)))
          .forEach(simulation::submit);
    }

    /** Guards against passes that search the whole fleet again for each step that waits. */
    @Test(dataProviderClass = PlacementCostTest.class, dataProvider = "fleets")
    public void examinesOnlyTheWorkerThatReported(int workers) {
      JobSimulation simulation = fullFleet(workers);
      submitWaiting(simulation);
      PlacementWork work = workOf(simulation, () -> report(simulation, "w7"));
      assertTrue(work.examined() <= STEPS, work.toString());
    }

    /** Guards against a pass that changes nothing but costs as much as the first one. */
    @Test
    public void costsLittleWhileNothingChanges() {
      JobSimulation simulation = fullFleet(245);
      long first = workOf(simulation, () -> submitWaiting(simulation)).examined();
      assertTrue(first >= 245 * STEPS, "examined " + first);
      PlacementWork work =
          workOf(
              simulation,
              () -> simulation.post(new JobEvent.Tick(new Moment(simulation.now, simulation.now))));
      assertEquals(work.passes(), 1);
      assertTrue(work.examined() <= STEPS, work.toString());
    }

    /** Guards against tasks that are passed over because a worker is not examined again. */
    @Test
    public void startsWhereCapacityBecomesFree() {
      JobSimulation simulation = fullFleet(50);
      submitWaiting(simulation);
      simulation.workMillis = 100;
      SimulatedWorker worker = simulation.workers.get(new WorkerId("w7"));
      worker.stop(worker.runs().iterator().next(), worker.token);
      simulation.run(1_000);
      assertTrue(simulation.starts() >= 50 + CORES / 2, "starts " + simulation.starts());
    }
  }

  /** Tasks that a start in flight pins to one worker, as after a change of leaders. */
  public static class Pinned {

    private static final int TASKS = 300;
    private static final Moment NOW = new Moment(1_000, 1_000);

    /** Adds a worker without room for any task. */
    private static void addWorker(Term term, int number) {
      WorkerIncarnation incarnation = new WorkerIncarnation(new WorkerId("w" + number), 500);
      WorkerInfo info =
          new WorkerInfo(
              incarnation,
              "pool",
              "w" + number + ":1",
              new DataCentreId("dc"),
              new Resources(500, 100_000, 0),
              List.of(),
              false);
      Worker worker = term.add(info, 0);
      worker.registered = true;
      worker.everAnswered = true;
    }

    /** Guards against passes that search the whole fleet for tasks that only one worker may run. */
    @Test
    public void examineOnlyTheirWorker() {
      Term term = new Term(JobTiming.STANDARD, LoadControl.OFF, JobFixtures.TABLE, NOW, 0);
      IntStream.range(0, 245).forEach(number -> addWorker(term, number));
      Job job = new Job(job("pinned", step(TASKS, 1, List.of())), 0);
      job.advance(0);
      WorkerIncarnation first = term.workers.get(new WorkerId("w0")).incarnation();
      job.tasks().forEach(t -> t.addLateStart(LateStart.sent(first, t.spec, 900), NOW.mono()));
      assertTrue(job.tasks().allMatch(task -> task.pinned(NOW.mono())));
      term.jobs.put(job.spec.id(), job);
      term.jobsToPlace.add(job);
      term.capacityChanged = true;
      PlacementPass pass =
          new PlacementPass(
              term,
              new WorkerSelector(new LearnedInterference()),
              new Urgency(new DurationEstimates()));
      pass.place();
      assertTrue(pass.work().examined() <= TASKS, pass.work().toString());
    }
  }

  /** Workers that may take a task again although nothing is reported from them. */
  public static class Resuming {

    /** Longest time until a worker that may take tasks again gets one, in milliseconds. */
    private static final long SOON_MILLIS = 200;

    /** Guards against a worker that gets nothing after the pause that a refused start caused. */
    @Test
    public void workerIsExaminedAfterItsPause() {
      JobSimulation simulation = fleet(1);
      simulation.refused = effect -> true;
      simulation.submit(job("refused", step(1, 2, List.of())));
      simulation.run(200);
      simulation.refused = effect -> false;
      assertEquals(simulation.starts(), 0);
      simulation.run(JobTiming.STANDARD.avoidMillis() + SOON_MILLIS);
      assertEquals(simulation.starts(), 1);
    }

    /** Guards against a data centre that gets nothing after its evacuation. */
    @Test
    public void workersAreExaminedAfterAnEvacuation() {
      JobSimulation simulation = fleet(3);
      simulation.evacuate("dc");
      simulation.submit(job("waits", step(3, 2, List.of())));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
      simulation.evacuate();
      simulation.run(SOON_MILLIS);
      assertEquals(simulation.starts(), 3);
    }

    /** Guards against rules whose change of a queue's pool does not reach waiting tasks. */
    @Test
    public void newRulesAreSearchedAnew() {
      JobSimulation simulation = fleet(3);
      JobQueue elsewhere =
          new JobQueue("queue", "host", "/jobs/", "elsewhere", 0, 2, 1.5, 250, false);
      simulation.table(new JobTable(2, List.of(elsewhere), List.of()));
      simulation.submit(job("waits", step(3, 2, List.of())));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
      simulation.table(new JobTable(3, List.of(JobFixtures.QUEUE), List.of()));
      simulation.run(SOON_MILLIS);
      assertEquals(simulation.starts(), 3);
    }
  }

  /** Tasks that wait while there is room for all of them. */
  public static class Backlog {

    private static final int WORKERS = 470;
    private static final int STEPS = 300;
    private static final int TASKS = 3_000;

    /** Returns steps of which each needs a search of its own. */
    private static StepSpec[] narrowSteps() {
      return Collections.nCopies(STEPS, step(TASKS / STEPS, 1, List.of())).toArray(StepSpec[]::new);
    }

    /** Guards against a search of the whole fleet for each of the equal tasks of a step. */
    @Test
    public void tasksOfOneStepShareTheirSearch() {
      JobSimulation simulation = fleet(WORKERS);
      PlacementWork work =
          workOf(simulation, () -> simulation.submit(job("step", step(20, 1, List.of()))));
      assertEquals(work.placed(), 20);
      assertTrue(work.examined() <= WORKERS + 20, work.toString());
    }

    /** Guards against a decision that takes so long that starts wait for it. */
    @Test
    public void oneDecisionIsBounded() {
      JobSimulation simulation = fleet(WORKERS);
      PlacementWork work = workOf(simulation, () -> simulation.submit(job("wide", narrowSteps())));
      assertEquals(work.passes(), 1);
      assertTrue(work.examined() < PlacementPass.MAX_EXAMINED + WORKERS, work.toString());
      simulation.run(3_000);
      assertEquals(simulation.starts(), TASKS);
    }
  }
}
