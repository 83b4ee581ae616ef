package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that tasks which crash every worker that starts them are abandoned in time, whatever else
 * happens: after the third worker that crashed under a task, it starts fewer than three more times
 * and its job fails, while other jobs go on.
 */
public class FatalTasksTest {

  private static final int WORKERS = 12;

  /** Number of crashes of workers under a task after which its starts are limited. */
  private static final int LIMITED_FROM_CRASHES = 3;

  /** Maximum number of starts of a task after that. */
  private static final int MAX_LATER_STARTS = 2;

  /** Time without a leader after one was killed. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Shortest and longest time until a crashed worker that is not back is no longer listed. */
  private static final int MIN_LISTED_MILLIS = 500;

  private static final int MAX_LISTED_MILLIS = 4_000;

  /** Time between two losses of a rack. */
  private static final long RACK_LOST_MILLIS = 8_000;

  private static final long WORK_MILLIS = 2_200;

  /** Duration of runs of long-running tasks, which end with the simulation. */
  private static final long FOREVER_MILLIS = 3_600_000;

  /** Time in which fatal jobs have to end: at most five crashes, each followed by lease ends. */
  private static final long MAX_MILLIS = 240_000;

  /** Time in which the other jobs have to complete after that. */
  private static final long MAX_SETTLE_MILLIS = 60_000;

  /** Number of seeds of each case. */
  private static final int SEEDS = Integer.getInteger("fatal.seeds", 1);

  /** Of how many cases one is run. CI has no time for all; 1 runs all of them. */
  private static final int STRIDE = Integer.getInteger("fatal.stride", 11);

  /** First seed of each case. */
  private static final int FIRST_SEED = Integer.getInteger("fatal.firstSeed", 2);

  /** What the workers do beside the fatal tasks. */
  private enum Load {
    QUIET(4, 1, 3_000, 2),
    BUSY(24, 2, 400, 6);

    private final int longRunningTasks;
    private final int cores;
    private final int everyMillis;
    private final int tasks;

    Load(int longRunningTasks, int cores, int everyMillis, int tasks) {
      this.longRunningTasks = longRunningTasks;
      this.cores = cores;
      this.everyMillis = everyMillis;
      this.tasks = tasks;
    }
  }

  /** Which tasks are fatal. */
  private enum Shape {
    ONE_TASK(1, 3, 1),
    WHOLE_STEP(1, 4, 4),
    FIVE_JOBS(5, 3, 1);

    private final int jobs;
    private final int tasks;
    private final int fatal;

    Shape(int jobs, int tasks, int fatal) {
      this.jobs = jobs;
      this.tasks = tasks;
      this.fatal = fatal;
    }
  }

  /** Whether workers restart under their identifier, and whether they stay listed until then. */
  private enum Restart {
    NEW_ID(false, false),
    NEW_ID_STILL_LISTED(false, true),
    KEPT_ID(true, false),
    KEPT_ID_STILL_LISTED(true, true);

    private final boolean keepsIds;
    private final boolean listed;

    Restart(boolean keepsIds, boolean listed) {
      this.keepsIds = keepsIds;
      this.listed = listed;
    }
  }

  /** Starts and crashes of one fatal task, as the workers see them. */
  private static final class Lives {
    private final Set<List<Object>> starts = new HashSet<>();
    private int crashes;
    private long startsUntilThird = Long.MAX_VALUE;
  }

  /** A fatal task that has started on a worker, or has made it crash. */
  private record Incident(TaskName task, int count, SimulatedWorker worker) {}

  /** One simulation of a fleet with fatal tasks, which records their starts and crashes. */
  private static final class Scenario {

    private record Timer(long atMillis, Runnable action) {}

    private final Random random;
    private final JobSimulation simulation;
    private final Load load;
    private final List<JobSpec> longRunning = new ArrayList<>();
    private final List<JobSpec> others = new ArrayList<>();
    private final List<JobSpec> bad = new ArrayList<>();
    private final Map<TaskName, Lives> lives = new LinkedHashMap<>();
    private final Set<SimulatedWorker> seenDead = Collections.newSetFromMap(new HashMap<>());
    private final List<Timer> timers = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();
    private Consumer<Incident> onStart = incident -> {};
    private Consumer<Incident> onCrash = incident -> {};
    private Runnable everySecond = () -> {};
    private long nextOtherMillis;
    private boolean leaderless;
    private boolean unlistsCrashed;
    private int listedMillis;

    /** Creates a fleet whose workers are split over two data centres. */
    Scenario(int seed, Load load) {
      random = new Random(seed);
      this.load = load;
      simulation =
          simulation(
              IntStream.range(0, WORKERS)
                  .mapToObj(i -> new SimulatedWorker("w" + i, 16, "w" + i + ":1", "dc" + i % 2))
                  .toArray(SimulatedWorker[]::new));
      simulation.workMillis = WORK_MILLIS;
      for (int i = 0; i < load.longRunningTasks / 4; i++) {
        JobSpec spec = job("lasting" + i, step(4, load.cores, List.of(), StepSpec.Trait.LASTS));
        simulation.workMillisOf.put(spec.id(), () -> FOREVER_MILLIS);
        longRunning.add(spec);
        simulation.submit(spec);
      }
      run(1_500 + random.nextInt(1_000));
    }

    /** Lets workers return after this time. */
    Scenario restarts(long millis, Restart restart) {
      simulation.restartMillis = millis;
      simulation.keepsIds = restart.keepsIds;
      simulation.listsCrashedWorkers = restart.listed;
      unlistsCrashed = !restart.listed;
      listedMillis = MIN_LISTED_MILLIS + random.nextInt(MAX_LISTED_MILLIS - MIN_LISTED_MILLIS);
      return this;
    }

    void submitFatal(Shape shape, long survivesMillis, StepSpec.Trait... traits) {
      for (int i = 0; i < shape.jobs; i++) {
        JobSpec spec = job("bad" + i, step(shape.tasks, 2, List.of(), traits));
        if (traits.length > 0) {
          simulation.workMillisOf.put(spec.id(), () -> FOREVER_MILLIS);
        }
        for (int task = 0; task < shape.fatal; task++) {
          TaskName name = TaskName.parse("bad%d.0.0.%d".formatted(i, task));
          simulation.fatal.put(name, survivesMillis);
          lives.put(name, new Lives());
        }
        bad.add(spec);
        simulation.submit(spec);
      }
    }

    /** Carries out an action between two steps of the simulation. */
    void after(long millis, Runnable action) {
      timers.add(new Timer(simulation.now + millis, action));
    }

    /** Kills the leader unless there is none; the next one takes over a while later. */
    void changeLeader() {
      if (leaderless) {
        return;
      }
      leaderless = true;
      simulation.killLeader();
      after(
          TAKEOVER_MILLIS,
          () -> {
            leaderless = false;
            simulation.takeOver();
            if (!unlistsCrashed) {
              relistCrashed();
            }
          });
    }

    /** Shows a new leader the workers that have crashed, are not back and are still listed. */
    private void relistCrashed() {
      Set<String> alive = new HashSet<>();
      simulation.workers.values().stream()
          .filter(worker -> !worker.dead)
          .forEach(worker -> alive.add(worker.info.address()));
      Map<String, SimulatedWorker> latest = new LinkedHashMap<>();
      simulation.workers.values().stream()
          .filter(worker -> worker.dead && !alive.contains(worker.info.address()))
          .forEach(worker -> latest.put(worker.info.address(), worker));
      latest.values().forEach(worker -> simulation.post(new JobEvent.WorkerSeen(worker.info)));
    }

    /** Loses some workers for a reason that has nothing to do with their tasks. */
    void loseWorkers(int count) {
      List<SimulatedWorker> alive =
          new ArrayList<>(
              simulation.workers.values().stream().filter(worker -> !worker.dead).toList());
      Collections.shuffle(alive, random);
      alive.stream().limit(count).forEach(simulation::crash);
    }

    /** Loses a third of the workers at once every few seconds, beginning at a random time. */
    void loseRacks() {
      long phase = 1_000L * random.nextInt((int) RACK_LOST_MILLIS / 1_000);
      everySecond =
          () -> {
            if (simulation.now % RACK_LOST_MILLIS == phase) {
              after(random.nextInt(1_000), () -> loseWorkers(WORKERS / 3));
            }
          };
    }

    /** Evacuates a worker's data centre for some seconds. */
    void evacuateForSeconds(SimulatedWorker worker) {
      simulation.evacuate(worker.info.dataCentre().value());
      after(3_000, simulation::evacuate);
    }

    private void run(long millis) {
      for (long end = simulation.now + millis; simulation.now < end; ) {
        simulation.run(10);
        simulation.workers.values().stream().toList().forEach(this::observe);
        List<Timer> dueNow =
            timers.stream().filter(timer -> timer.atMillis() <= simulation.now).toList();
        timers.removeAll(dueNow);
        dueNow.forEach(timer -> timer.action().run());
        if (simulation.now % 1_000 == 0) {
          everySecond.run();
        }
      }
    }

    private void observe(SimulatedWorker worker) {
      if (!worker.dead) {
        worker.runs().forEach(run -> observeRun(run, worker));
      } else if (seenDead.add(worker)) {
        worker.report(simulation.now).running().stream()
            .filter(run -> lives.containsKey(run.task()))
            .forEach(run -> observeCrash(run.task(), worker));
        unlistUntilBack(worker);
      }
    }

    private void observeRun(RunKey run, SimulatedWorker worker) {
      Lives of = lives.get(run.task());
      if (of != null && of.starts.add(List.of(run, worker.info.incarnation()))) {
        onStart.accept(new Incident(run.task(), of.starts.size(), worker));
      }
    }

    private void observeCrash(TaskName task, SimulatedWorker worker) {
      Lives of = lives.get(task);
      of.crashes++;
      if (of.crashes == LIMITED_FROM_CRASHES) {
        of.startsUntilThird = simulation.startsOf(task);
      }
      onCrash.accept(new Incident(task, of.crashes, worker));
    }

    private void unlistUntilBack(SimulatedWorker worker) {
      if (!unlistsCrashed || simulation.restartMillis <= listedMillis) {
        return;
      }
      after(listedMillis, () -> simulation.unlist(worker));
      WorkerId id = worker.info.id();
      if (simulation.keepsIds) {
        after(simulation.restartMillis + 10, () -> simulation.list(simulation.workers.get(id)));
      }
    }

    private boolean allFailed() {
      return bad.stream().allMatch(spec -> simulation.phase(spec.id()) == JobPhase.FAILED);
    }

    private boolean othersComplete() {
      return others.stream().allMatch(spec -> simulation.phase(spec.id()) == JobPhase.COMPLETE);
    }

    private void submitOther() {
      if (simulation.now < nextOtherMillis) {
        return;
      }
      long pauseMillis = load.everyMillis / 2L + random.nextInt(load.everyMillis);
      nextOtherMillis = simulation.now + pauseMillis;
      int tasks = 1 + random.nextInt(2 * load.tasks - 1);
      JobSpec spec = job("other" + others.size(), step(tasks, 2, List.of()));
      others.add(spec);
      simulation.submit(spec);
    }

    /** Runs until the fatal jobs have ended and the others have had time to complete. */
    void assertOnlyFatalJobsFail() {
      for (long end = simulation.now + MAX_MILLIS; simulation.now < end && !allFailed(); ) {
        submitOther();
        run(50);
      }
      long failedMillis = simulation.now;
      everySecond = () -> {};
      run(5_000);
      while (simulation.now < failedMillis + MAX_SETTLE_MILLIS && !othersComplete()) {
        run(500);
      }
      checkFatalTasks();
      checkPhases(bad, phase -> phase == JobPhase.FAILED);
      checkPhases(others, phase -> phase == JobPhase.COMPLETE);
      checkPhases(longRunning, phase -> phase != JobPhase.FAILED);
      assertEquals(problems.toString(), "[]", "at " + simulation.now);
    }

    private void checkFatalTasks() {
      lives.forEach(
          (task, of) -> {
            long starts = simulation.startsOf(task);
            if (starts - Math.min(starts, of.startsUntilThird) > MAX_LATER_STARTS) {
              problems.add(
                  "%s starts=%d, until the third crash %d, crashes=%d"
                      .formatted(task, starts, of.startsUntilThird, of.crashes));
            }
          });
    }

    private void checkPhases(List<JobSpec> jobs, Predicate<JobPhase> expected) {
      jobs.stream()
          .filter(spec -> !expected.test(simulation.phase(spec.id())))
          .forEach(spec -> problems.add(spec.id() + " " + simulation.phase(spec.id())));
    }
  }

  /** Returns each combination of the arguments with each seed. */
  private static Iterator<Object[]> withSeeds(Stream<Object[]> cases) {
    List<Object[]> all = cases.toList();
    return IntStream.range(0, all.size())
        .filter(i -> i % STRIDE == 0)
        .mapToObj(all::get)
        .flatMap(
            arguments ->
                seeds(SEEDS).map(seed -> Stream.concat(Stream.of(arguments), seed).toArray()))
        .iterator();
  }

  private static Stream<Stream<Integer>> seeds(int count) {
    return IntStream.range(FIRST_SEED, FIRST_SEED + count).mapToObj(Stream::of);
  }

  private static Stream<Object[]> product(List<?>... lists) {
    Stream<Object[]> all = Stream.<Object[]>of(new Object[0]);
    for (List<?> list : lists) {
      all =
          all.flatMap(
              some ->
                  list.stream()
                      .map(one -> Stream.concat(Stream.of(some), Stream.of(one)).toArray()));
    }
    return all;
  }

  private static final List<Long> SURVIVES = List.of(10L, 150L, 400L, 1_000L, 1_900L);

  private static <T> T choice(Random random, List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  /** Fatal tasks on a fleet without other faults. */
  public static class Alone {

    @DataProvider
    static Iterator<Object[]> cases() {
      return withSeeds(product(SURVIVES, List.of(Load.values()), List.of(Shape.values())));
    }

    /** Guards against more starts where a task survives for longer or beside other fatal tasks. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(long survives, Load load, Shape shape, int seed) {
      Scenario scenario = new Scenario(seed, load);
      scenario.submitFatal(shape, survives);
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Workers that return sooner or later, as the same or another worker. */
  public static class Restarts {

    /** Longer than the leases of a worker and than any order takes. */
    private static final long LATE_RETURN_MILLIS = 15_000;

    @DataProvider
    static Iterator<Object[]> cases() {
      List<Load> loads = List.of(Load.values());
      List<Shape> shapes = List.of(Shape.ONE_TASK, Shape.FIVE_JOBS);
      return withSeeds(
          Stream.concat(
              product(List.of(1_000L, 3_000L), List.of(Restart.values()), loads, shapes),
              product(
                  List.of(LATE_RETURN_MILLIS),
                  List.of(Restart.NEW_ID, Restart.KEPT_ID),
                  loads,
                  shapes)));
    }

    /** Guards against crashes that are not counted because of how and when workers return. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(long millis, Restart restart, Load load, Shape shape, int seed) {
      Scenario scenario = new Scenario(seed, load).restarts(millis, restart);
      scenario.submitFatal(shape, choice(scenario.random, SURVIVES));
      scenario.assertOnlyFatalJobsFail();
    }

    @DataProvider
    static Iterator<Object[]> listed() {
      return withSeeds(
          product(
              List.of(Restart.NEW_ID_STILL_LISTED, Restart.KEPT_ID_STILL_LISTED),
              List.of(Load.values()),
              List.of(Shape.ONE_TASK, Shape.FIVE_JOBS)));
    }

    /**
     * Guards against crashes that are not counted because the worker is listed until it returns,
     * after its leases have ended.
     */
    @Test(dataProvider = "listed")
    public void fatalTasksOfListedWorkersEnd(Restart restart, Load load, Shape shape, int seed) {
      Scenario scenario = new Scenario(seed, load).restarts(LATE_RETURN_MILLIS, restart);
      scenario.submitFatal(shape, choice(scenario.random, SURVIVES));
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Starts whose answers are lost, or that are carried out late. */
  public static class Orders {

    @DataProvider
    static Iterator<Object[]> cases() {
      return withSeeds(
          product(
              List.of(false, true),
              List.of(10, 40),
              List.of(Load.values()),
              List.of(Restart.NEW_ID, Restart.KEPT_ID),
              SURVIVES));
    }

    /** Guards against runs that are not counted because nobody confirmed their start. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(
        boolean late, int percent, Load load, Restart restart, long survives, int seed) {
      Scenario scenario = new Scenario(seed, load).restarts(3_000, restart);
      final Random random = new Random(seed);
      Predicate<JobEffect> some =
          effect -> effect instanceof JobEffect.StartRun && random.nextInt(100) < percent;
      if (late) {
        scenario.simulation.late = some;
      } else {
        scenario.simulation.lost = some;
      }
      scenario.submitFatal(Shape.ONE_TASK, survives);
      scenario.assertOnlyFatalJobsFail();
    }

    @DataProvider
    static Iterator<Object[]> late() {
      return withSeeds(
          product(
              List.of(10, 40),
              List.of(Load.values()),
              List.of(Restart.NEW_ID, Restart.KEPT_ID),
              List.of(10L, 150L, 300L, 600L)));
    }

    /** Guards against clearing a long-running task by the time that its late start took. */
    @Test(dataProvider = "late")
    public void fatalLongRunningTasksThatStartLateEnd(
        int percent, Load load, Restart restart, long survives, int seed) {
      Scenario scenario = new Scenario(seed, load).restarts(3_000, restart);
      final Random random = new Random(seed);
      scenario.simulation.late =
          effect -> effect instanceof JobEffect.StartRun && random.nextInt(100) < percent;
      scenario.submitFatal(Shape.ONE_TASK, survives, StepSpec.Trait.LASTS);
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Leaders that are killed around crashes. */
  public static class Leaders {

    /** When the leader is killed, relative to the crash. */
    @DataProvider
    static Iterator<Object[]> cases() {
      return withSeeds(
          product(
              List.of(0L, -20L, 20L, 2_000L, 200L, 900L, -100L),
              List.of(150L, 1_900L),
              List.of(Load.values()),
              List.of(false, true)));
    }

    /** Guards against crashes that are not counted because the leader was lost with the worker. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(long offset, long survives, Load load, boolean lasts, int seed) {
      Scenario scenario = new Scenario(seed, load);
      scenario.onStart =
          start -> scenario.after(Math.max(0, survives + offset), scenario::changeLeader);
      if (lasts) {
        scenario.submitFatal(Shape.ONE_TASK, Math.min(survives, 600), StepSpec.Trait.LASTS);
      } else {
        scenario.submitFatal(Shape.ONE_TASK, survives);
      }
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Fatal long-running tasks. */
  public static class LongRunning {

    @DataProvider
    static Iterator<Object[]> cases() {
      return withSeeds(
          product(
              List.of(10L, 150L, 300L, 600L),
              List.of(Load.values()),
              List.of(Shape.values()),
              List.of(Restart.NEW_ID, Restart.KEPT_ID_STILL_LISTED)));
    }

    /** Guards against fatal long-running tasks that are cleared because they had been listed. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(long survives, Load load, Shape shape, Restart restart, int seed) {
      Scenario scenario = new Scenario(seed, load).restarts(3_000, restart);
      scenario.submitFatal(shape, survives, StepSpec.Trait.LASTS);
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Workers that are lost together for another reason. */
  public static class LostRacks {

    @DataProvider
    static Iterator<Object[]> cases() {
      return withSeeds(product(SURVIVES, List.of(Load.values()), List.of(Shape.values())));
    }

    /** Guards against crashes that are not counted because racks are lost again and again. */
    @Test(dataProvider = "cases")
    public void fatalTasksEnd(long survives, Load load, Shape shape, int seed) {
      Scenario scenario = new Scenario(seed, load);
      scenario.loseRacks();
      scenario.submitFatal(shape, survives);
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** Workers that are to be left while a fatal task is there. */
  public static class Leaving {

    /** Numbers of the starts whose worker drains. */
    @DataProvider
    static Iterator<Object[]> draining() {
      return withSeeds(
          product(
              List.of(List.of(1), List.of(2), List.of(3), List.of(4), List.of(5)),
              SURVIVES,
              List.of(Load.values())));
    }

    /** Guards against crashes that are not counted because the worker was about to leave. */
    @Test(dataProvider = "draining")
    public void fatalTasksOfDrainingWorkerEnd(
        List<Integer> starts, long survives, Load load, int seed) {
      checkDraining(starts, survives, load, seed);
    }

    /** Numbers of two starts whose workers drain. */
    @DataProvider
    static Iterator<Object[]> drainingTwice() {
      return withSeeds(
          product(
              List.of(List.of(1, 2), List.of(2, 3), List.of(3, 4)),
              SURVIVES,
              List.of(Load.values())));
    }

    /** Guards against a sixth start where two of the workers that crashed were to leave. */
    @Test(dataProvider = "drainingTwice")
    public void fatalTasksOfTwoDrainingWorkersEnd(
        List<Integer> starts, long survives, Load load, int seed) {
      checkDraining(starts, survives, load, seed);
    }

    private static void checkDraining(List<Integer> starts, long survives, Load load, int seed) {
      Scenario scenario = new Scenario(seed, load);
      scenario.onStart =
          start -> {
            if (starts.contains(start.count())) {
              scenario.simulation.post(JobSimulation.draining(start.worker()));
            }
          };
      scenario.submitFatal(Shape.ONE_TASK, survives);
      scenario.assertOnlyFatalJobsFail();
    }

    /** Numbers of the starts whose data centre is evacuated. */
    @DataProvider
    static Iterator<Object[]> evacuated() {
      return withSeeds(
          product(
              List.of(
                  List.of(1),
                  List.of(2),
                  List.of(3),
                  List.of(4),
                  List.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)),
              SURVIVES,
              List.of(Load.values())));
    }

    /** Guards against crashes that are not counted because the data centre is evacuated. */
    @Test(dataProvider = "evacuated")
    public void fatalTasksOfEvacuatedWorkersEnd(
        List<Integer> starts, long survives, Load load, int seed) {
      Scenario scenario = new Scenario(seed, load);
      scenario.onStart =
          start -> {
            if (starts.contains(start.count())) {
              scenario.evacuateForSeconds(start.worker());
            }
          };
      scenario.submitFatal(Shape.ONE_TASK, survives);
      scenario.assertOnlyFatalJobsFail();
    }
  }

  /** All of these faults, drawn at random. */
  public static class Mixed {

    private static final int MIXED_SEEDS = Integer.getInteger("fatal.mixedSeeds", 2);

    @DataProvider
    static Iterator<Object[]> seeds() {
      return FatalTasksTest.seeds(MIXED_SEEDS).map(Stream::toArray).iterator();
    }

    /** Guards against faults that only together hide a crash. */
    @Test(dataProvider = "seeds")
    public void fatalTasksEnd(int seed) {
      final Random random = new Random(seed);
      Restart restart = choice(random, List.of(Restart.values()));
      List<Long> restarts =
          restart.listed ? List.of(1_000L, 3_000L) : List.of(1_000L, 3_000L, 15_000L);
      final Load load = choice(random, List.of(Load.values()));
      final long millis = choice(random, restarts);
      final int lost = choice(random, List.of(0, 0, 10, 30));
      final int late = choice(random, List.of(0, 0, 0, 10));
      final boolean racks = random.nextInt(3) == 0;
      // Two thirds of the workers are away at a time, so there is no capacity for a busy fleet.
      boolean fewWorkers = racks && millis > RACK_LOST_MILLIS;
      Scenario scenario =
          new Scenario(seed, fewWorkers ? Load.QUIET : load).restarts(millis, restart);
      scenario.simulation.lost =
          effect -> effect instanceof JobEffect.StartRun && random.nextInt(100) < lost;
      scenario.simulation.late =
          effect -> effect instanceof JobEffect.StartRun && random.nextInt(100) < late;
      if (racks) {
        scenario.loseRacks();
      }
      final int killed = choice(random, List.of(0, 20, 60));
      scenario.onStart =
          start -> {
            if (random.nextInt(100) < killed) {
              scenario.after(random.nextInt(3_000), scenario::changeLeader);
            }
            if (random.nextInt(20) == 0) {
              scenario.evacuateForSeconds(start.worker());
            }
          };
      if (random.nextInt(3) == 0) {
        long survives = choice(random, List.of(10L, 150L, 300L, 600L));
        scenario.submitFatal(
            choice(random, List.of(Shape.values())), survives, StepSpec.Trait.LASTS);
      } else {
        scenario.submitFatal(choice(random, List.of(Shape.values())), choice(random, SURVIVES));
      }
      scenario.assertOnlyFatalJobsFail();
    }
  }
}
