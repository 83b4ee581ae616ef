package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.TABLE;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of what is final: a stored or acknowledged completion. Unless a test says otherwise,
 * workers do not state when they started, and each incarnation has an identifier of its own.
 */
public class FinalCompletionsTest {

  /** Longest lease at these workers, in milliseconds. */
  private static final long MAX_LEASE_MILLIS = 6_000;

  static JobSimulation fleet(int workers) {
    return fleet(workers, 8);
  }

  static JobSimulation fleet(int workers, long cores) {
    JobSimulation simulation =
        new JobSimulation(
            IntStream.range(0, workers)
                .mapToObj(i -> SimulatedWorker.withUniqueIdentifier("w" + i, cores))
                .peek(worker -> worker.maxLeaseMillis = MAX_LEASE_MILLIS)
                .toArray(SimulatedWorker[]::new));
    simulation.table(TABLE);
    simulation.run(200);
    return simulation;
  }

  /** Returns the worker that runs something. */
  private static SimulatedWorker busy(JobSimulation simulation) {
    return simulation.workers.values().stream()
        .filter(worker -> worker.count() > 0)
        .findFirst()
        .orElseThrow();
  }

  /** Checks what is stored and acknowledged at every step of a simulation. */
  static final class FinalityChecker {
    private final JobSimulation simulation;
    private final Set<String> storedDone = new HashSet<>();
    private final Map<String, Integer> runs = new HashMap<>();

    FinalityChecker(JobSimulation simulation) {
      this.simulation = simulation;
    }

    void run(long millis) {
      for (long end = simulation.now + millis; simulation.now < end; ) {
        simulation.run(10);
        check();
      }
    }

    private void check() {
      Set<String> done = new HashSet<>();
      simulation
          .stored
          .jobs()
          .forEach(id -> simulation.stored.lines(id).skip(1).forEach(l -> line(id, l, done)));
      // The end of a job is final, so its tasks are not stored any longer.
      storedDone.stream()
          .filter(task -> !simulation.phase(TaskName.parse(task).job()).terminal())
          .filter(task -> !done.contains(task))
          .findAny()
          .ifPresent(task -> fail(task + " is no longer stored as done"));
      storedDone.addAll(done);
      acknowledged()
          .filter(task -> !done.contains(task.toString()))
          .filter(task -> !simulation.phase(task.job()).terminal())
          .filter(task -> !lasts(task))
          .findAny()
          .ifPresent(task -> fail(task + " is acknowledged but not stored"));
      checkBudget();
    }

    private Stream<TaskName> acknowledged() {
      return simulation.incarnations().flatMap(worker -> worker.acknowledgedDone.stream());
    }

    private boolean lasts(TaskName task) {
      StepId step = task.step();
      return simulation.specs.get(step.job()).steps().get(step.step()).is(StepSpec.Trait.LASTS);
    }

    private void line(JobId id, String line, Set<String> done) {
      String[] fields = line.split(" ", -1);
      String task = id + "." + fields[0] + "." + fields[1] + "." + fields[2];
      int run = Integer.parseInt(fields[4]);
      if (run < runs.getOrDefault(task, 0)) {
        fail(task + " goes back to run " + run);
      }
      runs.put(task, run);
      if (fields[3].equals("d")) {
        done.add(task);
      }
    }

    /** Checks that no run starts after as many acknowledged failures as its queue allows. */
    private void checkBudget() {
      Map<TaskName, List<Long>> failures =
          simulation
              .incarnations()
              .flatMap(worker -> worker.finallyFailed.stream())
              .collect(
                  Collectors.groupingBy(
                      failed -> failed.run().task(),
                      Collectors.mapping(
                          SimulatedWorker.DoneRun::doneMillis, Collectors.toList())));
      failures.forEach(
          (task, times) -> {
            int allowed = TABLE.queues().get(0).maxAttempts();
            if (times.size() < allowed || lasts(task)) {
              return;
            }
            long last = times.stream().sorted().skip(allowed - 1).findFirst().orElseThrow();
            simulation
                .incarnations()
                .flatMap(worker -> worker.startedMillis.entrySet().stream())
                .filter(start -> start.getKey().task().equals(task) && start.getValue() > last)
                .findAny()
                .ifPresent(start -> fail(start.getKey() + " exceeds the attempts"));
          });
    }

    private void fail(String what) {
      throw new AssertionError(what + " at " + simulation.now);
    }
  }

  /** Workers that are dropped and listed again. */
  public static class ListedAgain {

    private static final long LEASES_ENDED_MILLIS = 11_000;
    private static final long LONG_MILLIS = 60_000;

    /**
     * Guards against completions that are never acknowledged because the later run of a done task
     * ended while the worker of the earlier one was listed again and had not answered yet.
     */
    @Test
    public void acknowledgesOnceTheLaterRunIsOver() {
      JobSimulation simulation = fleet(2);
      final JobSpec job = job("again", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(100);
      final SimulatedWorker first = busy(simulation);
      first.reachable = false;
      simulation.workMillis = LONG_MILLIS;
      simulation.run(LEASES_ENDED_MILLIS);
      assertEquals(simulation.starts(), 2);
      simulation.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      simulation.run(1_000);
      simulation.unlist(first);
      simulation.run(300);
      first.reachable = false;
      simulation.list(first);
      simulation.lost = effect -> false;
      simulation.run(2_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      first.reachable = true;
      simulation.run(60_000);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }
  }

  /** Workers that list only the first of their completions. */
  public static class LongLists {

    /** Maximum number of completions in one answer. */
    private static final int MAX_LISTED = 500;

    private static final long LEASES_ENDED_MILLIS = 9_500;
    private static final long LONG_MILLIS = 60_000;

    /**
     * Guards against a run that is taken for missing because its completion comes after those that
     * fit into an answer. They are not acknowledged while the first one waits for a later run of
     * its task to end.
     */
    @Test
    public void runsNoTaskAgainWhoseCompletionIsNotListedYet() {
      JobSimulation simulation = fleet(2, 32);
      simulation.workers.values().forEach(worker -> worker.maxListed = MAX_LISTED);
      simulation.submit(job("held", step(1, 2, List.of())));
      simulation.run(100);
      final SimulatedWorker first = busy(simulation);
      first.reachable = false;
      simulation.workMillis = LONG_MILLIS;
      simulation.run(LEASES_ENDED_MILLIS);
      final SimulatedWorker second = busy(simulation);
      second.reachable = false;
      first.reachable = true;
      simulation.workMillis = 100;
      List<JobSpec> jobs =
          IntStream.range(0, 100).mapToObj(i -> job("j" + i, step(16, 1, List.of()))).toList();
      for (JobSpec next : jobs) {
        simulation.submit(next);
        simulation.run(100);
      }
      simulation.run(60_000);
      jobs.forEach(next -> assertEquals(simulation.phase(next.id()), JobPhase.COMPLETE));
      assertEquals(simulation.starts(), 2 + 16 * jobs.size());
    }
  }

  /** Runs that failed on a later life of a worker than the one that their starts were sent to. */
  public static class FailedDuplicates {

    private static final long DELAY_MILLIS = 8_000;
    private static final long BACK_BEFORE_MILLIS = 20;
    private static final WorkerId ONLY = new WorkerId("w0");

    /**
     * Guards against more attempts than allowed: the duplicate of an earlier run's start fails
     * while a later run is placed, and its acknowledged failure is not counted.
     */
    @Test
    public void countAsAttempts() {
      JobSimulation simulation = JobFixtures.restartingFleet(1);
      simulation.listsCrashedWorkers = true;
      simulation.run(1_000);
      final FinalityChecker checker = new FinalityChecker(simulation);
      final long arrives = simulation.now + DELAY_MILLIS;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? DELAY_MILLIS : 0;
      simulation.submit(job("failing", step(1, 2, List.of())));
      checker.run(100);
      simulation.delay = effect -> 0;
      simulation.workMillis = 30_000;
      simulation.crash(simulation.workers.get(ONLY));
      checker.run(arrives - BACK_BEFORE_MILLIS - JobFixtures.RESTART_MILLIS - simulation.now);
      assertEquals(simulation.workers.get(ONLY).count(), 1);
      simulation.workMillis = 100;
      simulation.fails = true;
      simulation.crash(simulation.workers.get(ONLY));
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? DELAY_MILLIS : 0;
      checker.run(JobFixtures.RESTART_MILLIS + 300);
      assertEquals(simulation.workers.get(ONLY).count(), 0);
      simulation.delay = effect -> 0;
      checker.run(60_000);
    }
  }

  /** Jobs that one leader leaves alone, because another version stored their progress. */
  public static class LeftAlone {

    private static final long TAKEOVER_MILLIS = 2_500;

    private static void takeOver(JobSimulation simulation) {
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
      simulation.run(2_000);
    }

    /** Guards against completions that a leader acknowledges although it cannot store them. */
    @Test
    public void loseNoCompletion() {
      JobSimulation simulation = fleet(2);
      final JobSpec job = job("alone", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(100);
      assertEquals(simulation.starts(), 1);
      simulation.unreadable.add(job.id());
      takeOver(simulation);
      simulation.unreadable.clear();
      takeOver(simulation);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }

    /** Guards against runs that a leader stops although their job is still active. */
    @Test
    public void keepTheirRuns() {
      JobSimulation simulation = fleet(2);
      simulation.workMillis = 9_000;
      final JobSpec job = job("alone", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(1_000);
      simulation.unreadable.add(job.id());
      takeOver(simulation);
      simulation.unreadable.clear();
      takeOver(simulation);
      simulation.run(10_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }
  }

  /** Workers that answer again about when their leases have been waited out. */
  public static class Returning {

    private static final long FIRST_MILLIS = 7_500;
    private static final long LAST_MILLIS = 11_000;
    private static final long STEP_MILLIS = 20;

    /** Delays after which a poll without an answer is carried out, in milliseconds. */
    @DataProvider
    public Object[][] lateness() {
      return Stream.of(10L, 3_000L, 5_000L, 8_000L)
          .map(millis -> new Object[] {millis})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a completion that becomes final after its task has started elsewhere. The
     * polls of the worker are carried out late and get no answer until it returns.
     */
    @Test(dataProvider = "lateness")
    public void runNoTaskAgain(long lateMillis) {
      int again = 0;
      for (long absent = FIRST_MILLIS; absent <= LAST_MILLIS; absent += STEP_MILLIS) {
        again += startsWith(absent, lateMillis) > 1 ? 1 : 0;
      }
      assertTrue(again > 0);
    }

    private static int startsWith(long absent, long lateMillis) {
      JobSimulation simulation = fleet(2);
      FinalityChecker checker = new FinalityChecker(simulation);
      JobSpec job = job("returning", step(1, 2, List.of()));
      simulation.submit(job);
      checker.run(100);
      final SimulatedWorker first = busy(simulation);
      final long back = simulation.now + absent;
      simulation.delay =
          effect ->
              effect instanceof JobEffect.LookAtWorker poll
                      && poll.target().incarnation().equals(first.info.incarnation())
                      && simulation.now < back
                  ? lateMillis
                  : 0;
      checker.run(absent + 5_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      return simulation.starts();
    }
  }

  /** Registry entries that carry the address of a worker which is alive. */
  public static class SharedAddresses {

    private static final WorkerId OTHER = new WorkerId("other");

    /**
     * Guards against a second run of a task whose worker is missing from the list for a moment
     * while another entry carries its address. Nothing but the list says that the worker has ended.
     */
    @Test
    public void endNoRunOfWorkerThatAnswers() {
      JobSimulation simulation = fleet(2);
      simulation.workMillis = 3_000;
      final JobSpec job = job("shared", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(100);
      final SimulatedWorker first = busy(simulation);
      WorkerInfo info = first.info;
      simulation.post(
          new JobEvent.WorkerSeen(
              new WorkerInfo(
                  WorkerIncarnation.withUniqueIdentifier(OTHER),
                  info.pool(),
                  info.address(),
                  info.dataCentre(),
                  info.capacity(),
                  info.labels(),
                  false)));
      simulation.run(200);
      simulation.unlist(first);
      simulation.run(200);
      simulation.list(first);
      simulation.run(10_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }
  }

  /** Random faults. */
  public static class FaultInjection {

    private static final int SEEDS = Integer.getInteger("finality.seeds", 20);
    private static final int FIRST_SEED = Integer.getInteger("finality.first", 0);

    /** Seeds of random faults. */
    @DataProvider
    public Object[][] seeds() {
      return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    /** Faults of one seed. */
    private static final class Faults {
      final Random random;
      final JobSimulation simulation = fleet(5);
      final FinalityChecker checker = new FinalityChecker(simulation);
      final Map<String, Long> lateUntil = new HashMap<>();
      final Map<String, Long> mutedUntil = new HashMap<>();
      final Map<SimulatedWorker, Long> cutUntil = new HashMap<>();
      final Map<SimulatedWorker, Long> unlistedUntil = new HashMap<>();
      final List<JobSpec> jobs = new ArrayList<>();
      long storeUntil;
      long slowUntil;
      long refusedUntil;
      long takeOverAt;
      final int profile;

      Faults(int seed) {
        random = new Random(seed);
        profile = seed % 4;
        simulation.delay = this::delay;
        simulation.answerDelay = effect -> simulation.now < slowUntil ? random.nextInt(700) : 0;
        simulation.refused = effect -> simulation.now < refusedUntil && random.nextBoolean();
        simulation.restartMillis = 2_000;
        simulation.listsCrashedWorkers = seed % 3 == 0;
      }

      private long delay(JobEffect effect) {
        String worker =
            effect instanceof JobEffect.StartRun s
                ? s.target().incarnation().worker().value()
                : effect instanceof JobEffect.LookAtWorker p
                    ? p.target().incarnation().worker().value()
                    : effect instanceof JobEffect.StopRun s
                        ? s.target().incarnation().worker().value()
                        : "";
        boolean gone = cutUntil.keySet().stream().anyMatch(w -> w.info.id().value().equals(worker));
        if (simulation.now < mutedUntil.getOrDefault(worker, 0L) && !gone) {
          return 10;
        }
        if (simulation.now < lateUntil.getOrDefault(worker, 0L) && random.nextInt(3) > 0) {
          return 10L + random.nextInt(12_000);
        }
        return 0;
      }

      private SimulatedWorker any() {
        List<SimulatedWorker> alive =
            simulation.workers.values().stream().filter(w -> !w.dead).toList();
        return alive.get(random.nextInt(alive.size()));
      }

      private long outage() {
        return switch (random.nextInt(3)) {
          case 0 -> 300L + random.nextInt(2_500);
          case 1 -> 7_500L + random.nextInt(2_500);
          default -> 1_000L + random.nextInt(9_000);
        };
      }

      void play(int steps) {
        if (profile == 3) {
          simulation.submit(job("lasting", step(3, 2, List.of(), StepSpec.Trait.LASTS)));
        }
        for (int i = 0; i < steps; i++) {
          long now = simulation.now;
          cutUntil.entrySet().removeIf(e -> e.getValue() <= now && restore(e.getKey()));
          unlistedUntil.entrySet().removeIf(e -> e.getValue() <= now && list(e.getKey()));
          if (simulation.storeUnavailable && now >= storeUntil) {
            simulation.restoreStore();
          }
          if (takeOverAt > 0 && now >= takeOverAt && !simulation.storeUnavailable) {
            takeOverAt = 0;
            simulation.takeOver();
          }
          simulation.workMillis = random.nextInt(4) == 0 ? 4_300 : 300 + random.nextInt(1_500);
          simulation.fails = random.nextInt(10) == 0;
          if (takeOverAt == 0 && random.nextInt(8) == 0 && jobs.size() < 60) {
            JobSpec job = job("j" + jobs.size(), step(1 + random.nextInt(4), 2, List.of()));
            jobs.add(job);
            simulation.submit(job);
          }
          inject(now);
          checker.run(50 + random.nextInt(5) * 10);
        }
      }

      private void inject(long now) {
        int fault = random.nextInt(220);
        SimulatedWorker worker = any();
        String id = worker.info.id().value();
        if (fault < 5) {
          worker.reachable = false;
          cutUntil.put(worker, now + outage());
        } else if (fault < 8) {
          lateUntil.put(id, now + outage());
        } else if (fault < 11) {
          mutedUntil.put(id, now + outage());
        } else if (fault < 13 && takeOverAt == 0) {
          simulation.killLeader();
          takeOverAt = now + 2_500 + random.nextInt(500);
        } else if (fault < 16 && takeOverAt == 0 && !simulation.storeUnavailable) {
          simulation.endLeader();
          takeOverAt = simulation.now + 60;
        } else if (fault < 18 && profile > 0) {
          simulation.unlist(worker);
          unlistedUntil.put(worker, now + outage());
        } else if (fault < 19 && profile > 1) {
          simulation.crash(worker);
        } else if (fault < 21 && !simulation.storeUnavailable) {
          simulation.storeUnavailable = true;
          storeUntil = now + 200 + random.nextInt(3_500);
        } else if (fault == 25 && takeOverAt == 0 && !simulation.storeUnavailable) {
          restartInstances();
        } else if (fault < 23) {
          slowUntil = now + outage();
        } else if (fault < 24) {
          refusedUntil = now + outage();
        }
      }

      /** Ends several leaders one after the other, and cuts off half of the workers meanwhile. */
      private void restartInstances() {
        final int cutAfter = random.nextInt(5);
        for (int i = 0; i < 5; i++) {
          if (i == cutAfter) {
            simulation.workers.values().stream()
                .filter(worker -> !worker.dead && random.nextBoolean())
                .forEach(
                    worker -> {
                      worker.reachable = false;
                      cutUntil.put(worker, simulation.now + outage());
                    });
          }
          simulation.savesOutliveLeaders = random.nextBoolean();
          if (random.nextInt(3) == 0) {
            simulation.killLeader();
            checker.run(2_500);
          } else {
            simulation.endLeader();
            checker.run(60);
          }
          simulation.takeOver();
          checker.run(random.nextInt(1_500));
        }
      }

      private boolean restore(SimulatedWorker worker) {
        worker.reachable = true;
        return true;
      }

      private boolean list(SimulatedWorker worker) {
        if (!worker.dead) {
          simulation.list(worker);
        }
        return true;
      }
    }

    /**
     * Guards against a run of a task with a final completion, a stored completion that is lost, one
     * that is acknowledged before it is stored, and attempts beyond the limit.
     */
    @Test(dataProvider = "seeds")
    public void runsNoTaskAgain(int seed) {
      Faults faults = new Faults(seed);
      faults.play(900);
      assertFalse(faults.jobs.isEmpty());
    }
  }
}
