package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.KnowledgeAcrossLeadersTest.changeLeader;
import static org.cottontack.core.job.KnowledgeAcrossLeadersTest.logged;
import static org.cottontack.core.job.KnowledgeAcrossLeadersTest.runUntil;
import static org.cottontack.core.job.LateStartTest.FIRST;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what is stored of starts in doubt, over several leaders. */
public class StoredStartsTest {

  private static final WorkerId SECOND = new WorkerId("w1");
  private static final String LOST = "lost";
  private static final String OTHER = "other";
  private static final StepSpec LONG_RUNNING = step(3, 2, List.of(), StepSpec.Trait.LASTS);

  /** Time between a worker's restart and the arrival of a late order. */
  private static final long BACK_BEFORE_MILLIS = 20;

  /** Time after which a leader that can save has stored what it has learned. */
  private static final long STORED_MILLIS = 100;

  private static boolean starts(JobEffect effect, String name) {
    return effect instanceof JobEffect.StartRun start
        && start.run().task().job().value().equals(name);
  }

  private static boolean startsOn(JobEffect effect, WorkerId worker) {
    return effect instanceof JobEffect.StartRun start
        && start.target().incarnation().worker().equals(worker);
  }

  /** Returns a fleet of which the leader knows, and has stored, that starts are ignored. */
  private static JobSimulation withIgnoredStart() {
    JobSimulation simulation = LateStartTest.fleet();
    simulation.workMillis = 600_000;
    ignoreStart(simulation);
    simulation.run(STORED_MILLIS);
    assertTrue(simulation.facts.ignoredStart().isPresent());
    return simulation;
  }

  private static void ignoreStart(JobSimulation simulation) {
    simulation.delay = effect -> starts(effect, OTHER) ? 600_000 : 0;
    simulation.submit(job(OTHER, step(1, 2, List.of())));
    final BooleanSupplier ignored = () -> logged(simulation, "start.ignored");
    runUntil(simulation, simulation.now + 2_000, ignored);
    assertTrue(ignored.getAsBoolean());
  }

  /** Submits long-running tasks, of which those on the first worker begin late. */
  private static void submitLate(JobSimulation simulation, long arrives) {
    simulation.delay =
        effect ->
            starts(effect, OTHER)
                ? 600_000
                : starts(effect, LOST) && startsOn(effect, FIRST) ? arrives - simulation.now : 0;
    simulation.submit(job(LOST, LONG_RUNNING));
    final BooleanSupplier sent =
        () ->
            simulation.effects.stream()
                .anyMatch(effect -> starts(effect, LOST) && startsOn(effect, FIRST));
    runUntil(simulation, simulation.now + 1_000, sent);
    assertTrue(sent.getAsBoolean());
    simulation.delay = effect -> starts(effect, OTHER) ? 600_000 : 0;
  }

  private static long running(JobSimulation simulation) {
    return simulation.workers.values().stream().mapToInt(SimulatedWorker::count).sum();
  }

  /** Series of leaders. */
  public static class Series {

    private static final int SEEDS = 150;

    /** Shortest time in which a leader stores that a worker does not answer. */
    private static final long FIRST_POLL_MILLIS = 1_000;

    /** Numbers that determine when leaders change, and how. */
    @DataProvider
    public Object[][] seeds() {
      return IntStream.range(0, SEEDS)
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a task whose late start is forgotten by one of several
     * leaders, which are stopped or killed, or lose the store before they end.
     */
    @Test(dataProvider = "seeds")
    public void runNoTaskTwice(int seed) {
      Random random = new Random(seed);
      JobSimulation simulation = withIgnoredStart();
      final long arrives = simulation.now + 8_500 + random.nextInt(2_000);
      submitLate(simulation, arrives);
      simulation.restartMillis = arrives - BACK_BEFORE_MILLIS - simulation.now;
      LateStartTest.crash(simulation);
      simulation.run(random.nextInt(2_000));
      int changes = 1 + random.nextInt(6);
      for (int i = 0; i < changes; i++) {
        changeLeader(simulation, random.nextBoolean());
        simulation.run(FIRST_POLL_MILLIS + random.nextInt(1_500));
        simulation.storeUnavailable = random.nextInt(3) == 0;
        simulation.run(simulation.storeUnavailable ? random.nextInt(1_500) : 0);
        if (simulation.storeUnavailable) {
          simulation.killLeader();
          simulation.run(2_500);
          simulation.restoreStore();
          simulation.takeOver();
        }
      }
      simulation.delay = effect -> 0;
      simulation.run(40_000);
      assertEquals(running(simulation), 4);
    }

    /** Guards against an expiry that each leader stores a little later than the last one. */
    @Test
    public void keepExpiry() {
      JobSimulation simulation = withIgnoredStart();
      submitLate(simulation, simulation.now + 600_000);
      simulation.restartMillis = 600_000;
      LateStartTest.crash(simulation);
      simulation.run(2_000);
      final RecoveryFacts facts = simulation.facts;
      assertFalse(facts.starts().isEmpty());
      for (int i = 0; i < 5; i++) {
        changeLeader(simulation, i % 2 == 0);
        simulation.run(200);
        assertEquals(simulation.facts.starts(), facts.starts());
        assertEquals(simulation.facts.ignoredStart(), facts.ignoredStart());
      }
    }

    /** Whether leaders are killed. */
    @DataProvider
    public Object[][] kinds() {
      return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a task without a start in doubt that waits for one, because the next leader
     * knows that starts are ignored but not that this task's was answered.
     */
    @Test(dataProvider = "kinds")
    public void delayNoTaskWhoseStartWasAnswered(boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.workMillis = 600_000;
      simulation.submit(job(LOST, LONG_RUNNING));
      simulation.run(1_000);
      ignoreStart(simulation);
      simulation.restartMillis = 600_000;
      LateStartTest.crash(simulation);
      simulation.run(2_000);
      changeLeader(simulation, killed);
      final SimulatedWorker other = simulation.workers.get(SECOND);
      long bound = simulation.now + LeaderLease.GRANT_MILLIS + 500;
      runUntil(simulation, bound, () -> lostRuns(other) == 3);
      assertEquals(lostRuns(other), 3);
    }

    private static long lostRuns(SimulatedWorker worker) {
      return IntStream.range(0, 3)
          .filter(index -> worker.runs(TaskName.parse(LOST + ".0.0." + index)))
          .count();
    }

    /** Guards against a task that waits for a start which expired before the leader's term. */
    @Test(dataProvider = "kinds")
    public void delayNoTaskWhoseStartHasExpired(boolean killed) {
      JobSimulation simulation = withIgnoredStart();
      submitLate(simulation, simulation.now + 600_000);
      simulation.restartMillis = 600_000;
      LateStartTest.crash(simulation);
      simulation.evacuate(
          simulation.workers.get(SECOND).info.dataCentre().value(),
          simulation.workers.get(FIRST).info.dataCentre().value());
      simulation.run(40_000);
      changeLeader(simulation, killed);
      simulation.evacuate();
      final SimulatedWorker other = simulation.workers.get(SECOND);
      runUntil(simulation, simulation.now + 1_000, () -> lostRuns(other) == 3);
      assertEquals(lostRuns(other), 3);
    }
  }

  /** Expiries that no longer hold. */
  public static class Withdrawn {

    /**
     * Guards against a start that is sent again, to a worker that answers again, while the next
     * leader would take it for expired: the store is away, so that the expiry is not withdrawn.
     */
    @Test
    public void beforeStartIsSentAgain() {
      JobSimulation simulation = withIgnoredStart();
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 600_000 : 0;
      simulation.submit(job(LOST, LONG_RUNNING));
      // It is stored that duplicates of the starts are possible, so that they need no further save.
      simulation.run(2_500);
      final SimulatedWorker first = simulation.workers.get(FIRST);
      first.reachable = false;
      simulation.run(3_500);
      assertFalse(simulation.facts.starts().isEmpty());
      simulation.storeUnavailable = true;
      first.reachable = true;
      final long resent = simulation.now;
      simulation.effects.clear();
      simulation.run(1_500);
      assertEquals(lostStarts(simulation), 0);
      simulation.restoreStore();
      simulation.run(1_500);
      assertTrue(lostStarts(simulation) > 0, "resent from " + resent);
    }

    private static long lostStarts(JobSimulation simulation) {
      return simulation.effects.stream()
          .filter(effect -> starts(effect, LOST) && startsOn(effect, FIRST))
          .count();
    }

    /** Guards against an expiry that is taken for that of a new job with the same identifier. */
    @Test
    public void withItsJob() {
      JobSimulation simulation = withIgnoredStart();
      submitLate(simulation, simulation.now + 600_000);
      simulation.restartMillis = 600_000;
      LateStartTest.crash(simulation);
      simulation.run(2_000);
      assertFalse(simulation.facts.starts().isEmpty());
      simulation.post(new JobEvent.JobCancelled(new JobId(LOST)));
      simulation.run(STORED_MILLIS);
      assertTrue(simulation.facts.starts().isEmpty());
    }
  }

  /** Runs whose expiry is written. */
  public static class Written {

    private StoredStarts starts;
    private Term term;

    @BeforeMethod
    void begin() {
      Moment now = new Moment(1_000, 1_000);
      starts = new StoredStarts();
      term = new Term(JobTiming.STANDARD, LoadControl.OFF, JobTable.EMPTY, now, 0);
    }

    private Task waitingTask() {
      Job job = new Job(job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS)), 0);
      term.jobs.put(job.spec.id(), job);
      job.advance(0);
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(new WorkerIncarnation(FIRST, 7), 1_000);
      task.sent(1_000);
      task.unanswered();
      term.release(task);
      return task;
    }

    /** Guards against an expiry that is taken for that of a later run with the same number. */
    @Test
    public void needsRunThatIsStored() {
      Task task = waitingTask();
      assertEquals(
          starts.beginSave(term), Map.of(task.key(), new StartExpiry(1_000 + 8_500, 13_000)));
      starts.saved();
      assertFalse(starts.due(term));
      // This run is released before its placement is stored; the next leader may use its number.
      task.place(new WorkerIncarnation(FIRST, 8), 1_100);
      term.release(task);
      assertTrue(starts.due(term));
      assertEquals(starts.beginSave(term), Map.of());
    }

    /** Guards against starts that a refused save would keep from being sent. */
    @Test
    public void nothingOfRefusedSaves() {
      final Task task = waitingTask();
      starts.beginSave(term);
      starts.refused();
      assertTrue(starts.due(term));
      assertTrue(starts.expiry(task.key()).isEmpty());
    }
  }

  /** A store that is away when a start is seen to be ignored. */
  public static class StoreAway {

    /** Guards against an ignored start that is not stored once the store is back. */
    @Test
    public void ignoredStartIsStoredAfterwards() {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.delay = effect -> starts(effect, OTHER) ? 600_000 : 0;
      simulation.submit(job(OTHER, step(1, 2, List.of())));
      final BooleanSupplier sent =
          () -> simulation.effects.stream().anyMatch(effect -> starts(effect, OTHER));
      runUntil(simulation, simulation.now + 1_000, sent);
      final long sentMillis = simulation.now;
      simulation.storeUnavailable = true;
      runUntil(simulation, simulation.now + 2_000, () -> logged(simulation, "start.ignored"));
      simulation.run(STORED_MILLIS);
      assertTrue(simulation.facts.isEmpty());
      simulation.restoreStore();
      simulation.run(STORED_MILLIS);
      long stored = simulation.facts.ignoredStart().orElseThrow();
      assertTrue(stored >= sentMillis - 10 && stored <= sentMillis, "stored " + stored);
    }
  }

  /** What is written. */
  public static class Cost {

    private static final int TASKS = 200;

    /** Guards against a write for each of many ignored starts. */
    @Test
    public void ofIgnoredStartsIsBounded() {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 600_000 : 0;
      Stream.iterate(0, i -> i < TASKS, i -> i + 1)
          .forEach(
              i -> {
                simulation.submit(job(OTHER + i, step(1, 1, List.of())));
                simulation.run(20);
              });
      simulation.run(2_000);
      long millis = 20 * TASKS + 2_000;
      long writes =
          simulation.effects.stream()
              .filter(JobEffect.SaveProgress.class::isInstance)
              .filter(effect -> ((JobEffect.SaveProgress) effect).facts().isPresent())
              .count();
      assertTrue(writes > 0 && writes <= 2 + millis / 500, "writes " + writes);
    }
  }
}
