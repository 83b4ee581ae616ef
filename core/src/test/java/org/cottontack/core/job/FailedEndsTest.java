package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that only failed runs count as attempts of a task, and each of them once. */
public class FailedEndsTest {

  private static final long STEP_MILLIS = 10;

  /** Time without a leader at a change of leaders, in milliseconds. */
  private static final long LEADERLESS_MILLIS = 2_500;

  private static final long SHORT_MILLIS = 100;
  private static final long LONG_MILLIS = 60_000;
  private static final WorkerId FIRST = new WorkerId("w0");
  private static final TaskName TASK = TaskName.parse("failing.0.0.0");

  private static JobQueue queue(int maxAttempts) {
    JobQueue queue = JobFixtures.QUEUE;
    return new JobQueue(
        queue.name(),
        queue.host(),
        queue.prefix(),
        queue.pool(),
        queue.priority(),
        maxAttempts,
        queue.stretch(),
        queue.targetMillis(),
        queue.advised());
  }

  private static JobSpec failing() {
    return job("failing", step(1, 2, List.of()));
  }

  /** Runs a simulation and checks the attempts that its leaders count at every step. */
  private static final class AttemptsChecker {

    private static final int FAILURES_FIELD = 5;
    private static final int LINE_FIELDS = 8;

    private final JobSimulation simulation;
    private final Set<String> givenUp = new HashSet<>();
    private final Set<String> failed = new HashSet<>();
    private long version = 1;
    private int maxAttempts;
    private int effectsRead;
    private int callsRead;

    AttemptsChecker(JobSimulation simulation, int maxAttempts) {
      this.simulation = simulation;
      allow(maxAttempts);
    }

    /** Puts rules in force that allow so many attempts. */
    void allow(int attempts) {
      version++;
      maxAttempts = attempts;
      simulation.table(new JobTable(version, List.of(queue(attempts)), List.of()));
    }

    /** Puts rules in force that no longer have the queue. */
    void dropQueue() {
      version++;
      maxAttempts = JobFixtures.QUEUE.maxAttempts();
      simulation.table(new JobTable(version, List.of(), List.of()));
    }

    void run(long millis) {
      for (long end = simulation.now + millis; simulation.now < end; ) {
        simulation.run(STEP_MILLIS);
        check();
      }
    }

    void runUntil(BooleanSupplier reached) {
      for (long end = simulation.now + LONG_MILLIS; !reached.getAsBoolean(); ) {
        assertTrue(simulation.now < end, "not reached");
        run(STEP_MILLIS);
      }
    }

    void changeLeader() {
      simulation.killLeader();
      run(LEADERLESS_MILLIS);
      simulation.takeOver();
    }

    private void check() {
      simulation.effects.subList(effectsRead, simulation.effects.size()).stream()
          .filter(JobEffect.Note.class::isInstance)
          .map(JobEffect.Note.class::cast)
          .forEach(this::checkNote);
      effectsRead = simulation.effects.size();
      checkStarts();
      if (callsRead < simulation.stored.calls) {
        callsRead = simulation.stored.calls;
        checkStored();
      }
    }

    /** Checks that no run starts after as many acknowledged failures as the rules allow. */
    private void checkStarts() {
      Map<TaskName, Map<Integer, Long>> finallyFailed =
          simulation
              .incarnations()
              .flatMap(worker -> worker.finallyFailed.stream())
              .collect(
                  Collectors.groupingBy(
                      failure -> failure.run().task(),
                      Collectors.toMap(
                          failure -> failure.run().run(),
                          SimulatedWorker.DoneRun::doneMillis,
                          Math::min)));
      finallyFailed.entrySet().stream()
          .filter(entry -> entry.getValue().size() >= maxAttempts)
          .forEach(
              entry -> {
                long last =
                    entry.getValue().values().stream()
                        .sorted()
                        .skip(maxAttempts - 1)
                        .findFirst()
                        .orElseThrow();
                simulation
                    .incarnations()
                    .flatMap(worker -> worker.startedMillis.entrySet().stream())
                    .filter(start -> start.getKey().task().equals(entry.getKey()))
                    .filter(start -> start.getValue() > last)
                    .forEach(start -> fail(start.getKey() + " exceeds the attempts"));
              });
    }

    private void checkNote(JobEffect.Note note) {
      if (note.name().equals("job.givenUp")) {
        givenUp.add(note.subject());
      } else if (note.name().equals("job.ended") && note.detail().equals("FAILED")) {
        failed.add(note.subject());
        int most = mostFailures(new JobId(note.subject()));
        assertTrue(
            most >= maxAttempts || givenUp.contains(note.subject()),
            note.subject() + " fails after failed runs: " + most + " at " + simulation.now);
      }
    }

    /** Returns the most failed runs of a task of a job; duplicates of one run count once. */
    private int mostFailures(JobId job) {
      return failedRuns().entrySet().stream()
          .filter(entry -> entry.getKey().job().equals(job))
          .mapToInt(entry -> entry.getValue().size())
          .reduce(0, Math::max);
    }

    private Map<TaskName, Set<Integer>> failedRuns() {
      return simulation
          .incarnations()
          .flatMap(worker -> worker.failed.stream())
          .collect(
              Collectors.groupingBy(
                  RunKey::task, Collectors.mapping(RunKey::run, Collectors.toSet())));
    }

    private void checkStored() {
      Map<TaskName, Set<Integer>> runs = failedRuns();
      for (JobId id : simulation.stored.jobs()) {
        assertTrue(
            simulation.phase(id) != JobPhase.FAILED || failed.contains(id.value()),
            id + " is stored as failed and no leader has decided that");
        simulation
            .stored
            .lines(id)
            .skip(1)
            .map(line -> line.split(" ", -1))
            .filter(fields -> fields.length >= LINE_FIELDS)
            .forEach(fields -> checkLine(id, fields, runs));
      }
    }

    private void checkLine(JobId id, String[] fields, Map<TaskName, Set<Integer>> runs) {
      TaskName task = TaskName.parse(String.join(".", id.value(), fields[0], fields[1], fields[2]));
      int counted = Integer.parseInt(fields[FAILURES_FIELD]);
      Set<Integer> failedRuns = runs.getOrDefault(task, Set.of());
      assertTrue(
          counted <= failedRuns.size(),
          "%s has %d attempts but failed in runs %s, at %d"
              .formatted(task, counted, failedRuns, simulation.now));
    }

    /** Returns the attempts of the only task of a job that are stored. */
    int stored(JobId job) {
      return simulation
          .stored
          .lines(job)
          .skip(1)
          .mapToInt(line -> Integer.parseInt(line.split(" ", -1)[FAILURES_FIELD]))
          .sum();
    }
  }

  private static SimulatedWorker only(JobSimulation simulation) {
    return simulation.workers.get(FIRST);
  }

  private static long starts(JobSimulation simulation) {
    return simulation.startsOf(TASK);
  }

  /** Failed ends that several leaders see. */
  public static class AcrossLeaders {

    private static final int ALLOWED = 4;
    private static final long LAST_OFFSET_MILLIS = 300;

    /** Whether the save in flight of a killed leader is carried out. */
    @DataProvider
    public static Object[][] outliving() {
      return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a failed end that two leaders count, or none: each leader is killed some
     * milliseconds after a run has failed, before or after its count is stored and acknowledged.
     */
    @Test(dataProvider = "outliving")
    public void countOnce(boolean outliving) {
      for (long offset = 0; offset <= LAST_OFFSET_MILLIS; offset += STEP_MILLIS) {
        JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
        simulation.savesOutliveLeaders = outliving;
        simulation.workMillis = SHORT_MILLIS;
        simulation.fails = true;
        AttemptsChecker checker = new AttemptsChecker(simulation, ALLOWED);
        simulation.submit(failing());
        for (int failures = 1; failures < ALLOWED; failures++) {
          int expected = failures;
          checker.runUntil(() -> only(simulation).failed.size() >= expected);
          checker.run(offset);
          checker.changeLeader();
        }
        checker.run(20_000);
        String what = "offset " + offset;
        assertEquals(simulation.phase(TASK.job()), JobPhase.FAILED, what);
        assertEquals(only(simulation).failed.size(), ALLOWED, what);
        assertEquals(starts(simulation), ALLOWED, what);
      }
    }

    /**
     * Guards against a stored failed end that each further leader counts again, because no
     * acknowledgement ever reaches its worker.
     */
    @Test
    public void countOnceWithoutAcknowledgement() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      AttemptsChecker checker = new AttemptsChecker(simulation, ALLOWED);
      simulation.submit(failing());
      checker.runUntil(() -> !only(simulation).failed.isEmpty());
      simulation.fails = false;
      simulation.workMillis = 20_000;
      checker.runUntil(() -> checker.stored(TASK.job()) == 1);
      assertEquals(only(simulation).lastAcknowledgedCompletion(), 0);
      for (int i = 0; i < ALLOWED; i++) {
        checker.changeLeader();
        simulation.storeUnavailable = true;
        checker.run(1_000);
        assertTrue(only(simulation).listsCompletions());
        assertEquals(checker.stored(TASK.job()), 1);
        simulation.storeUnavailable = false;
      }
      checker.changeLeader();
      checker.runUntil(() -> !only(simulation).listsCompletions());
      assertEquals(checker.stored(TASK.job()), 1);
      checker.run(25_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.COMPLETE);
      assertEquals(only(simulation).failed.size(), 1);
    }
  }

  /** Reports that are handled late. */
  public static class StaleReports {

    /** Guards against a failed end that is counted again when an old report lists it once more. */
    @Test
    public void countOnce() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      simulation.submit(failing());
      SimulatedWorker worker = only(simulation);
      checker.runUntil(() -> !worker.failed.isEmpty());
      final WorkerReport stale = worker.report(simulation.now);
      final long sent = simulation.now - STEP_MILLIS;
      assertEquals(stale.completions().size(), 1);
      simulation.fails = false;
      simulation.workMillis = 2_000;
      checker.runUntil(() -> starts(simulation) == 2);
      for (int i = 0; i < 10; i++) {
        simulation.post(new JobEvent.WorkerReported(worker.info.incarnation(), sent, stale));
        checker.run(STEP_MILLIS);
      }
      checker.run(5_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.COMPLETE);
      assertEquals(starts(simulation), 2);
    }

    /**
     * Guards against a failed end that is counted again, after its task was placed again, because
     * its worker was forgotten meanwhile and lists the end to a leader that takes it for new.
     */
    @Test
    public void countOnceWhereWorkerWasForgotten() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w0", 8), new SimulatedWorker("w1", 8));
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      simulation.submit(failing());
      checker.runUntil(() -> checker.stored(TASK.job()) == 1);
      SimulatedWorker first =
          simulation.workers.values().stream()
              .filter(worker -> !worker.failed.isEmpty())
              .findFirst()
              .orElseThrow();
      assertEquals(first.lastAcknowledgedCompletion(), 0);
      first.reachable = false;
      simulation.fails = false;
      simulation.workMillis = 20_000;
      checker.runUntil(() -> starts(simulation) == 2);
      assertFalse(first.runs(TASK));
      simulation.unlist(first);
      checker.run(1_000);
      first.reachable = true;
      simulation.list(first);
      checker.runUntil(() -> !first.listsCompletions());
      assertEquals(checker.stored(TASK.job()), 1);
      checker.run(25_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.COMPLETE);
      assertEquals(starts(simulation), 2);
    }
  }

  /**
   * Runs that fail on several incarnations of a worker, because a duplicate of their start is late.
   */
  public static class Duplicates {

    private static final long DELAY_MILLIS = 4_000;
    private static final long BACK_BEFORE_MILLIS = 20;

    /** Whether the leader changes between the two failures. */
    @DataProvider
    public static Object[][] changes() {
      return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a run that counts twice because it failed on two incarnations of its worker:
     * one attempt was made.
     */
    @Test(dataProvider = "changes")
    public void countOnce(boolean changesLeader) {
      JobSimulation simulation = restartingFleet(1);
      simulation.listsCrashedWorkers = true;
      simulation.run(1_000);
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      final long arrives = simulation.now + DELAY_MILLIS;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? DELAY_MILLIS : 0;
      simulation.submit(failing());
      checker.run(100);
      simulation.delay = effect -> 0;
      checker.runUntil(() -> checker.stored(TASK.job()) == 1);
      if (changesLeader) {
        simulation.killLeader();
      }
      checker.run(arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - simulation.now);
      final SimulatedWorker before = only(simulation);
      simulation.crash(before);
      checker.runUntil(() -> only(simulation) != before && !only(simulation).failed.isEmpty());
      assertEquals(only(simulation).failed, before.failed);
      simulation.fails = false;
      if (changesLeader) {
        simulation.takeOver();
      }
      checker.run(40_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.COMPLETE);
    }
  }

  /** Runs that fail after a later run of their task was placed. */
  public static class EarlierRuns {

    private static final long DELAY_MILLIS = 8_000;
    private static final long BACK_BEFORE_MILLIS = 20;

    /** Whether the leader changes before it acknowledges the counted failure. */
    @DataProvider
    public static Object[][] changes() {
      return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against the failure of an earlier run that is not counted, or that the next leader
     * counts once more because it is not acknowledged yet.
     */
    @Test(dataProvider = "changes")
    public void countOnce(boolean changesLeader) {
      JobSimulation simulation = restartingFleet(1);
      simulation.listsCrashedWorkers = true;
      simulation.run(1_000);
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      final long arrives = simulation.now + DELAY_MILLIS;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? DELAY_MILLIS : 0;
      simulation.submit(failing());
      checker.run(100);
      simulation.delay = effect -> 0;
      simulation.workMillis = LONG_MILLIS;
      simulation.crash(only(simulation));
      checker.run(arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - simulation.now);
      assertEquals(only(simulation).count(), 1);
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      simulation.crash(only(simulation));
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? DELAY_MILLIS : 0;
      checker.run(RESTART_MILLIS + 300);
      assertEquals(only(simulation).failed, Set.of(new RunKey(TASK, 1)));
      simulation.fails = false;
      simulation.delay = effect -> 0;
      checker.runUntil(() -> checker.stored(TASK.job()) == 1);
      if (changesLeader) {
        assertTrue(only(simulation).listsCompletions());
        checker.changeLeader();
      }
      checker.run(60_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.COMPLETE);
    }
  }

  /** Rules that change between two failures. */
  public static class ChangedRules {

    private static void failOnce(JobSimulation simulation, AttemptsChecker checker) {
      simulation.workMillis = SHORT_MILLIS;
      simulation.fails = true;
      simulation.submit(failing());
      checker.runUntil(() -> only(simulation).failed.size() == 1);
    }

    private static void assertFailedAfter(
        int runs, JobSimulation simulation, AttemptsChecker checker) {
      checker.run(20_000);
      assertEquals(simulation.phase(TASK.job()), JobPhase.FAILED);
      assertEquals(only(simulation).failed.size(), runs);
      assertEquals(starts(simulation), runs);
    }

    /** Guards against a job that fails by rules which later ones with more attempts replaced. */
    @Test
    public void allowMoreAttempts() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      failOnce(simulation, checker);
      checker.allow(5);
      assertFailedAfter(5, simulation, checker);
    }

    /** Guards against the same fault where the next leader knows the later rules only. */
    @Test
    public void allowMoreAttemptsUnderNextLeader() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      AttemptsChecker checker = new AttemptsChecker(simulation, 2);
      failOnce(simulation, checker);
      simulation.killLeader();
      checker.allow(5);
      checker.run(LEADERLESS_MILLIS);
      simulation.takeOver();
      assertFailedAfter(5, simulation, checker);
    }

    /** Guards against tasks that go on failing by rules which later ones replaced. */
    @Test
    public void allowFewerAttempts() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      AttemptsChecker checker = new AttemptsChecker(simulation, 5);
      failOnce(simulation, checker);
      checker.allow(2);
      assertFailedAfter(2, simulation, checker);
    }

    /** Guards against a job that fails at once because the rules no longer have its queue. */
    @Test
    public void dropTheQueue() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 8));
      AttemptsChecker checker = new AttemptsChecker(simulation, 5);
      failOnce(simulation, checker);
      checker.dropQueue();
      checker.changeLeader();
      assertFailedAfter(JobFixtures.QUEUE.maxAttempts(), simulation, checker);
    }
  }

  /** Jobs whose progress takes several rows, or several transactions. */
  public static class SeveralRows {

    private static final int TASKS = 400;
    private static final int STEPS = 12;

    /** Limits of the store, and seeds of what fails. */
    @DataProvider
    public static Iterator<Object[]> series() {
      return Stream.of(StoreLimits.STANDARD, new StoreLimits(2_048, 20_000, 100))
          .flatMap(limits -> IntStream.range(0, 3).mapToObj(seed -> new Object[] {limits, seed}))
          .iterator();
    }

    /** Guards against attempts that are restored wrongly, or from several rows at once. */
    @Test(dataProvider = "series")
    public void countOnceOverChangesOfLeaders(StoreLimits limits, int seed) {
      final Random random = new Random(seed);
      SimulatedWorker[] workers =
          IntStream.range(0, 4)
              .mapToObj(i -> SimulatedWorker.withUniqueIdentifier("w" + i, 16))
              .toArray(SimulatedWorker[]::new);
      JobSimulation simulation = new JobSimulation(LoadControl.OFF, limits, workers);
      simulation.savesOutliveLeaders = random.nextBoolean();
      simulation.workMillis = 300;
      AttemptsChecker checker = new AttemptsChecker(simulation, 8);
      checker.run(200);
      JobSpec job = job("large", TestStep.tasks(TASKS).cpu(200).of());
      simulation.submit(job);
      for (int i = 0; i < STEPS; i++) {
        for (SimulatedWorker worker : workers) {
          worker.failsAll = random.nextInt(3) == 0;
        }
        checker.run(random.nextInt(1_000));
        if (random.nextBoolean()) {
          checker.changeLeader();
        }
      }
      assertTrue(simulation.stored.parts(job.id()) > 1 || simulation.phase(job.id()).terminal());
      assertTrue(checker.failedRuns().size() > TASKS / 10);
      for (SimulatedWorker worker : workers) {
        worker.failsAll = false;
      }
      checker.run(30_000);
      assertTrue(simulation.phase(job.id()).terminal());
    }
  }

  /** Random series of changes of leaders beside workers that fail their runs. */
  public static class Series {

    private static final int SEEDS = Integer.getInteger("failures.seeds", 6);
    private static final long MILLIS = 40_000;
    private static final int MAX_DELAY_MILLIS = 5_000;

    /** What happens beside failing runs. */
    private enum Trouble {
      CHANGES_OF_LEADERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.run(random.nextInt(600));
          checker.changeLeader();
        }
      },
      GRACEFUL_CHANGES_OF_LEADERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.run(random.nextInt(600));
          checker.simulation.endLeader();
          checker.run(random.nextInt(500));
          checker.simulation.takeOver();
        }
      },
      STORE_OUTAGES {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.simulation.storeUnavailable = true;
          checker.run(random.nextInt(1_500));
          boolean killed = random.nextBoolean();
          if (killed) {
            checker.simulation.killLeader();
          }
          checker.simulation.restoreStore();
          if (killed) {
            checker.changeLeader();
          }
        }
      },
      REFUSED_SAVES {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.simulation.refusedSaves = save -> random.nextInt(3) == 0;
          checker.run(random.nextInt(1_000));
          checker.changeLeader();
        }
      },
      LATE_ORDERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.simulation.delay =
              effect -> random.nextInt(10) == 0 ? 1 + random.nextInt(MAX_DELAY_MILLIS) : 0;
          checker.run(random.nextInt(1_000));
          if (random.nextInt(4) == 0) {
            checker.changeLeader();
          }
        }
      },
      LATE_ANSWERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.simulation.answerDelay =
              effect -> random.nextInt(5) == 0 ? random.nextInt(700) : 0;
          checker.simulation.lost = effect -> random.nextInt(10) == 0;
          checker.run(random.nextInt(1_000));
          if (random.nextInt(3) == 0) {
            checker.changeLeader();
          }
        }
      },
      UNLISTED_WORKERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          List<SimulatedWorker> all = alive(checker.simulation);
          List<SimulatedWorker> cut = all.subList(0, 1 + random.nextInt(all.size() / 2));
          cut.forEach(worker -> worker.reachable = false);
          checker.run(random.nextInt(2_000));
          cut.forEach(checker.simulation::unlist);
          checker.run(random.nextInt(1_000));
          if (random.nextInt(3) == 0) {
            checker.changeLeader();
          }
          cut.forEach(worker -> worker.reachable = true);
          cut.forEach(checker.simulation::list);
        }
      },
      CRASHES {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          crash(checker.simulation, random);
          checker.run(random.nextInt(1_000));
          if (random.nextInt(3) == 0) {
            checker.changeLeader();
          }
        }
      },
      RESTARTS_UNDER_KEPT_IDENTIFIERS {
        @Override
        void inject(AttemptsChecker checker, Random random) {
          checker.simulation.keepsIds = true;
          checker.simulation.restartMillis = RESTART_MILLIS;
          checker.simulation.listsCrashedWorkers = random.nextBoolean();
          checker.simulation.delay =
              effect ->
                  effect instanceof JobEffect.StartRun && random.nextInt(20) == 0
                      ? 1 + random.nextInt((int) RESTART_MILLIS)
                      : 0;
          crash(checker.simulation, random);
          checker.run(random.nextInt(1_500));
          if (random.nextInt(4) == 0) {
            checker.changeLeader();
          }
        }
      };

      /** Injects the trouble once. */
      abstract void inject(AttemptsChecker checker, Random random);

      private static List<SimulatedWorker> alive(JobSimulation simulation) {
        return simulation.workers.values().stream().filter(worker -> !worker.dead).toList();
      }

      private static void crash(JobSimulation simulation, Random random) {
        List<SimulatedWorker> alive = alive(simulation);
        SimulatedWorker any = alive.get(random.nextInt(alive.size()));
        if (any.ageMillis(simulation.now) > MAX_DELAY_MILLIS) {
          simulation.crash(any);
        }
      }
    }

    /** All troubles, with seeds. */
    @DataProvider
    public static Iterator<Object[]> series() {
      return Stream.of(Trouble.values())
          .flatMap(
              trouble -> IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {trouble, seed}))
          .iterator();
    }

    /** Guards against jobs that fail although none of their tasks has used up its attempts. */
    @Test(dataProvider = "series")
    public void failNoJobTooSoon(Trouble trouble, int seed) {
      final Random random = new Random(seed);
      JobSimulation simulation =
          simulation(
              IntStream.range(0, 8)
                  .mapToObj(i -> new SimulatedWorker("w" + i, 8))
                  .toArray(SimulatedWorker[]::new));
      simulation.savesOutliveLeaders = random.nextBoolean();
      simulation.workMillis = 200;
      AttemptsChecker checker = new AttemptsChecker(simulation, 2 + random.nextInt(4));
      List<JobSpec> jobs = new ArrayList<>();
      checker.run(MAX_DELAY_MILLIS);
      while (simulation.now < MILLIS) {
        jobs.add(job("j" + jobs.size(), step(6, 2, List.of())));
        simulation.submit(jobs.get(jobs.size() - 1));
        for (SimulatedWorker worker : simulation.workers.values()) {
          worker.failsAll = random.nextInt(3) == 0;
        }
        checker.run(random.nextInt(800));
        trouble.inject(checker, random);
      }
      assertFalse(checker.failedRuns().isEmpty());
      simulation.delay = effect -> 0;
      simulation.answerDelay = effect -> 0;
      simulation.lost = effect -> false;
      simulation.refusedSaves = save -> false;
      for (SimulatedWorker worker : simulation.workers.values()) {
        worker.failsAll = false;
      }
      checker.run(30_000);
      jobs.forEach(
          job -> assertTrue(simulation.phase(job.id()).terminal(), job.id() + " has not ended"));
    }
  }
}
