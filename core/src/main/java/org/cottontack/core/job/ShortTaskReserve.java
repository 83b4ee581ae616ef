package org.cottontack.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps room for short tasks when new services want to begin. The load: services reserve nine
 * tenths of the processors and stay for minutes, and short tasks come in bursts and want to start
 * at once. A service that never ran begins only where as much stays free as short tasks needed at
 * their last peak. One that did run returns at once, whatever that leaves: its users miss it.
 */
final class ShortTaskReserve {

  /**
   * Time in which half of a peak is forgotten, in milliseconds: bursts come some tens of seconds
   * apart, and no service should wait for one that was a minute ago.
   */
  private static final double HALF_LIFE_MILLIS = 20_000;

  /** Weight of the newest task in the usual size of short ones. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final Map<String, Pool> pools = new HashMap<>();
  private long lastPassMillis;

  /** What is known of a pool of workers; processor time in thousandths of a core. */
  private static final class Pool {
    /** What a short task asks for, on average. */
    double meanTaskCpu;

    /** The most that short tasks held and waited for, fading. */
    double peakDemand;

    /** What is free in pieces that hold a usual short task; smaller ones are of no use to them. */
    double usableFree;

    long capacity;
    long used;

    /** What short tasks hold. */
    long shortTasksCpu;

    /** What short tasks wait for. */
    long waitingCpu;

    void clear() {
      usableFree = 0;
      capacity = 0;
      used = 0;
      shortTasksCpu = 0;
      waitingCpu = 0;
    }

    void add(Worker worker) {
      capacity += worker.info.capacity().cpuMillis();
      used += worker.used.cpuMillis();
      shortTasksCpu += worker.used.cpuMillis() - worker.servingCpu;
      long free = Math.max(0, worker.free().cpuMillis());
      usableFree += meanTaskCpu == 0 ? free : Math.floor(free / meanTaskCpu) * meanTaskCpu;
    }

    boolean admits(long cpuMillis) {
      return WorkerSelector.lightlyReserved(used, capacity)
          || usableFree - cpuMillis + shortTasksCpu >= peakDemand;
    }
  }

  /** Takes in what is used and what waits before a pass over what waits. */
  void beginPass(
      Collection<Worker> workers, Collection<Job> jobsToPlace, JobTable table, long nowMillis) {
    final double decay = Math.pow(0.5, (nowMillis - lastPassMillis) / HALF_LIFE_MILLIS);
    lastPassMillis = nowMillis;
    pools.values().forEach(Pool::clear);
    workers.stream()
        .filter(Worker::countsForPool)
        .forEach(worker -> pool(worker.info.pool()).add(worker));
    jobsToPlace.stream()
        .filter(job -> job.spec.steps().stream().anyMatch(ShortTaskReserve::isShort))
        .forEach(job -> pool(table.current(job.spec.queue()).pool()).waitingCpu += waitingCpu(job));
    pools
        .values()
        .forEach(
            pool ->
                pool.peakDemand =
                    Math.max(
                        decay * pool.peakDemand, (double) (pool.shortTasksCpu + pool.waitingCpu)));
  }

  private static long waitingCpu(Job job) {
    return job.ready()
        .filter(task -> isShort(task.spec))
        .mapToLong(task -> task.spec.reserved().cpuMillis())
        .sum();
  }

  private static boolean isShort(StepSpec step) {
    return !step.is(StepSpec.Trait.LASTS) && !step.is(StepSpec.Trait.FILLS);
  }

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, any -> new Pool());
  }

  /** Returns whether a task may begin in a pool now. */
  boolean admits(Task task, String pool) {
    boolean neverStarted = task.spec.is(StepSpec.Trait.LASTS) && task.run == 0;
    return !neverStarted || pool(pool).admits(task.spec.reserved().cpuMillis());
  }

  /** Takes in that a task got a place in a pool. */
  void recordPlaced(Task task, String name) {
    Pool pool = pool(name);
    long cpu = task.spec.reserved().cpuMillis();
    pool.used += cpu;
    pool.usableFree -= cpu;
    if (isShort(task.spec)) {
      pool.shortTasksCpu += cpu;
      pool.meanTaskCpu += (pool.meanTaskCpu == 0 ? 1 : NEWEST_WEIGHT) * (cpu - pool.meanTaskCpu);
    }
  }
}
