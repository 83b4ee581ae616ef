package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * The load of a replay as data, drawn from a seed: a fleet on which services reserve a given share,
 * jobs of short tasks and best-effort jobs, and how much each best-effort image slows each serving
 * one.
 */
final class ReplayLoad {

  static final JobQueue SHORT =
      new JobQueue("short", "host", "/short/", "pool", 0, 2, 1.5, 250, false);
  static final JobQueue BEST_EFFORT =
      new JobQueue("fill", "host", "/fill/", "pool", 2, 4, 2.0, 1_000, false);
  static final JobQueue SERVING =
      new JobQueue("serve", "host", "/serve/", "pool", 0, 4, 2.2, 2_500, false);
  static final JobTable TABLE = new JobTable(1, List.of(SHORT, BEST_EFFORT, SERVING), List.of());

  private static final int SERVING_IMAGES = 5;
  private static final int BEST_EFFORT_IMAGES = 9;
  private static final double TARGET_MILLIS = 50;

  /** Speed of slow workers. */
  private static final double SLOW_SPEED = 1 / 3.0;

  /** Share of the phases of a best-effort task in which it disturbs its neighbours much. */
  static final double HEAVY_PHASES = 0.6;

  /** Mean length of a phase, in milliseconds. */
  static final double PHASE_MILLIS = 2_500;

  /** Activity in the other phases, relative to 1 in the phases that disturb much. */
  static final double LIGHT_ACTIVITY = 0.15;

  /** Bound of a service's tail, as a multiple of the tail at rest. */
  static final double BOUND_TO_BASE = 5;

  /**
   * The users of one service. Their load swings, for all its tasks alike.
   *
   * @param mean share of its reservation that it uses on average
   * @param phase initial phase of the swing, in radians
   */
  record Service(double mean, double phase) {
    private static final double SWING = 0.5;
    private static final double PERIOD_MILLIS = 14_000;

    double load(long now) {
      return mean * (1 + SWING * Math.sin(phase + 2 * Math.PI * now / PERIOD_MILLIS));
    }
  }

  /** A job that arrives, with the true durations of its tasks. */
  record Arrival(long millis, JobSpec job, List<double[]> workMillis) {

    double work() {
      double work = 0;
      for (int step = 0; step < job.steps().size(); step++) {
        for (double millis : workMillis.get(step)) {
          work += millis * job.steps().get(step).need().cpuMillis();
        }
      }
      return work;
    }

    /** Returns the objective that follows from the true durations, in milliseconds. */
    double objectiveMillis() {
      double chain = workMillis.stream().mapToDouble(w -> Arrays.stream(w).max().orElse(0)).sum();
      return job.queue().stretch() * chain + job.queue().targetMillis();
    }
  }

  final ReplayShape shape;
  final List<Arrival> arrivals = new ArrayList<>();
  final List<ReplayWorker> workers = new ArrayList<>();
  private final Map<String, Double> weights = new HashMap<>();
  private final Map<JobId, Service> services = new HashMap<>();
  private final Random random;
  private final boolean declaresTrueDurations;

  ReplayLoad(ReplayShape shape) {
    this(shape, ReplayPolicy.STANDING);
  }

  ReplayLoad(ReplayShape shape, ReplayPolicy policy) {
    this.shape = shape;
    this.random = new Random(shape.seed());
    this.declaresTrueDurations = policy.declaresTrueDurations();
    for (int i = 0; i < shape.workers(); i++) {
      workers.add(new ReplayWorker("w" + i, i % 3 == 2 ? 48 : 32, "dc" + i % 3, this));
    }
    drawWeights();
    drawServices();
    drawJobs(SHORT, shape.shorts());
    drawJobs(BEST_EFFORT, shape.bestEffort());
    drawTroubles();
    arrivals.sort(Comparator.comparingLong(Arrival::millis));
  }

  double baseTailMillis() {
    return TARGET_MILLIS / BOUND_TO_BASE;
  }

  /**
   * Returns by how much a best-effort image lengthens the responses of a serving one, per share of
   * the processors.
   */
  double weight(String serving, String bestEffort) {
    return weights.getOrDefault(serving + "/" + bestEffort, 0.0);
  }

  /** Returns the share of the best-effort images that weigh less than this beside a serving one. */
  double tolerance(String serving, double weight) {
    return IntStream.range(0, BEST_EFFORT_IMAGES)
            .filter(bestEffort -> weight(serving, "f" + bestEffort) < weight)
            .count()
        / (double) BEST_EFFORT_IMAGES;
  }

  Service service(JobId job) {
    return services.get(job);
  }

  private void drawWeights() {
    for (int serving = 0; serving < SERVING_IMAGES; serving++) {
      double share = shape.harmful() * (0.2 + 1.6 * random.nextDouble());
      for (int bestEffort = 0; bestEffort < BEST_EFFORT_IMAGES; bestEffort++) {
        boolean heavy = random.nextDouble() < share;
        double weight = heavy ? 1.2 + 3 * random.nextDouble() : 0.3 * random.nextDouble();
        weights.put("s" + serving + "/f" + bestEffort, weight);
      }
    }
  }

  private double spread(double mean, double spread, double max) {
    double mu = Math.log(mean) - spread * spread / 2;
    return Math.min(max, Math.exp(mu + spread * random.nextGaussian()));
  }

  private void drawServices() {
    long cores = workers.stream().mapToLong(w -> w.info.capacity().cpuMillis()).sum();
    long placed = 0;
    for (int n = 0; placed < shape.reserved() * cores; n++) {
      int count = (int) Math.max(1, Math.round(spread(6, 0.4, 12)));
      long cpu = Math.round(spread(6_400, 0.25, 10_000) / 50) * 50;
      StepSpec step =
          TestStep.tasks(count)
              .cpu(cpu)
              .estimate(0)
              .apart(random.nextBoolean() ? 1 : 0)
              .image("s" + random.nextInt(SERVING_IMAGES))
              .target(TARGET_MILLIS)
              .of(StepSpec.Trait.LASTS);
      JobId id = new JobId("serve" + n);
      services.put(id, new Service(shape.used(), 2 * Math.PI * random.nextDouble()));
      boolean late = placed > 0.9 * shape.reserved() * cores;
      long at = late ? random.nextLong(shape.lengthMillis() / 2) : -6_000 + 20L * n;
      placed += count * cpu;
      arrivals.add(new Arrival(at, job(id, SERVING, List.of(step)), List.of(new double[count])));
    }
  }

  private static JobSpec job(JobId id, JobQueue queue, List<StepSpec> steps) {
    return new JobSpec(id, queue, "payload", steps, JobSpec.Schedule.AT_ONCE);
  }

  /** Makes some workers slow and lets others fail what they start. */
  private void drawTroubles() {
    int slow = (int) Math.round(shape.troubles().slow() * workers.size());
    int failing = (int) Math.round(shape.troubles().failing() * workers.size());
    workers.stream().skip(workers.size() - slow).forEach(worker -> worker.speed = SLOW_SPEED);
    workers.stream()
        .skip(workers.size() - slow - failing)
        .limit(failing)
        .forEach(worker -> worker.failsAll = true);
  }

  private void drawJobs(JobQueue queue, ReplayShape.Work work) {
    boolean bestEffort = queue.equals(BEST_EFFORT);
    double millis = 0;
    for (int n = 0; ; n++) {
      boolean burst = bestEffort && inBurst((long) millis);
      double rate = burst ? shape.troubles().burst() * work.perSecond() : work.perSecond();
      millis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      if (millis > shape.lengthMillis()) {
        return;
      }
      arrivals.add(
          bestEffort ? bestEffortJob((long) millis, n, work) : shortJob((long) millis, n, work));
    }
  }

  private static boolean inBurst(long millis) {
    return millis > 12_000 && millis < 18_000;
  }

  private Arrival shortJob(long millis, int n, ReplayShape.Work work) {
    int steps = (int) Math.max(1, Math.round(spread(1.6, 0.4, 4)));
    return arrival(millis, new JobId("short" + n), SHORT, steps, work, new Spreads(0.8, 0.45), "");
  }

  private Arrival bestEffortJob(long millis, int n, ReplayShape.Work work) {
    int steps = (int) Math.max(1, Math.round(spread(2, 0.4, 5)));
    String image = "f" + random.nextInt(BEST_EFFORT_IMAGES);
    return arrival(
        millis, new JobId("fill" + n), BEST_EFFORT, steps, work, new Spreads(0.6, 0.3), image);
  }

  /**
   * Spreads of a step's width and of what its tasks ask for, as standard deviations of logarithms.
   */
  private record Spreads(double width, double cpu) {}

  private Arrival arrival(
      long at,
      JobId id,
      JobQueue queue,
      int steps,
      ReplayShape.Work kind,
      Spreads spreads,
      String image) {
    List<StepSpec> specs = new ArrayList<>();
    List<double[]> work = new ArrayList<>();
    for (int step = 0; step < steps; step++) {
      int count =
          (int) Math.max(1, Math.round(spread(kind.width(), spreads.width(), kind.widest())));
      double usual = spread(kind.workMillis(), 0.5, 2.5 * kind.workMillis());
      long cpu =
          Math.round(spread(kind.cpuMillis(), spreads.cpu(), 3 * kind.cpuMillis()) / 50) * 50;
      double declared = usual * Math.exp(0.2 * random.nextGaussian());
      final boolean hasCheckpoints = random.nextDouble() < 0.85;
      double[] durations =
          random.doubles(count).map(any -> usual * Math.exp(0.3 * random.nextGaussian())).toArray();
      double longest = Arrays.stream(durations).max().orElse(usual);
      TestStep built =
          TestStep.tasks(count)
              .cpu(cpu)
              .estimate(Math.round(declaresTrueDurations ? longest : declared))
              .after(step == 0 ? List.of() : List.of(step - 1))
              .image(image);
      specs.add(
          image.isEmpty()
              ? built.of()
              : hasCheckpoints ? withCheckpoints(built) : withoutCheckpoints(built));
      work.add(durations);
    }
    return new Arrival(at, job(id, queue, specs), work);
  }

  private static StepSpec withCheckpoints(TestStep step) {
    return step.of(StepSpec.Trait.FILLS, StepSpec.Trait.CHECKPOINTS);
  }

  private static StepSpec withoutCheckpoints(TestStep step) {
    return step.of(StepSpec.Trait.FILLS);
  }
}
