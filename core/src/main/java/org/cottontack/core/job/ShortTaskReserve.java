package org.cottontack.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Reserves capacity for short tasks when new services are to begin. Services reserve nine tenths of
 * the processors and run for minutes, while short tasks arrive in bursts and should start
 * immediately. A service that has never run begins only where it leaves as much capacity free as
 * short tasks needed at their last peak. A service that has run before restarts at once, whatever
 * that leaves for short tasks, because its users miss it.
 */
final class ShortTaskReserve {

  /**
   * Half-life of a recorded peak, in milliseconds. Bursts are some tens of seconds apart, and no
   * service should wait because of a burst a minute ago.
   */
  private static final double HALF_LIFE_MILLIS = 20_000;

  /** Weight of the newest task in the mean size of short tasks. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final Map<String, Pool> pools = new HashMap<>();
  private long lastPassMillis;

  /** The state of a pool of workers; processor time is in thousandths of a core. */
  private static final class Pool {
    /** Mean processor time that a short task reserves. */
    double meanTaskCpu;

    /** Peak of the processor time that short tasks reserved or waited for. It decays over time. */
    double peakDemand;

    /**
     * Free processor time in multiples of a mean short task. Smaller remainders on a worker cannot
     * hold a short task.
     */
    double usableFree;

    long capacity;
    long used;

    /** Processor time that short tasks have reserved. */
    long shortTasksCpu;

    /** Processor time for which short tasks wait. */
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

  /** Records the reservations and the waiting tasks, before a placement pass. */
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

  /** Returns whether a task waits until it leaves enough capacity to short tasks. */
  static boolean appliesTo(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS) && task.run == 0;
  }

  /** Returns whether a task may begin in a pool now. */
  boolean admits(Task task, String pool) {
    return !appliesTo(task) || pool(pool).admits(task.spec.reserved().cpuMillis());
  }

  /** Records that a task was placed in a pool. */
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
