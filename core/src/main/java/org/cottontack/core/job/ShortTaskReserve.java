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
  private static final double NEWEST = 0.05;

  private final Map<String, Pool> pools = new HashMap<>();
  private long beganMillis;

  /** What is known of a pool of workers; processor time in thousandths of a core. */
  private static final class Pool {
    /** What a short task asks for, on average. */
    double usualTask;

    /** The most that short tasks held and waited for, fading. */
    double peak;

    /** What is free in pieces that hold a usual short task; smaller ones are of no use to them. */
    double pieces;

    long capacity;
    long used;

    /** What short tasks hold. */
    long held;

    /** What short tasks wait for. */
    long waiting;

    void clear() {
      pieces = 0;
      capacity = 0;
      used = 0;
      held = 0;
      waiting = 0;
    }

    void add(Worker worker) {
      capacity += worker.info.capacity().cpuMillis();
      used += worker.used.cpuMillis();
      held += worker.used.cpuMillis() - worker.servingCpu;
      long free = Math.max(0, worker.free().cpuMillis());
      pieces += usualTask == 0 ? free : Math.floor(free / usualTask) * usualTask;
    }

    boolean admits(long cpuMillis) {
      return WorkerSelector.roomy(used, capacity) || pieces - cpuMillis + held >= peak;
    }
  }

  /** Takes in what is used and what waits before a pass over what waits. */
  void begin(Collection<Worker> workers, Collection<Job> hungry, JobTable table, long nowMillis) {
    final double kept = Math.pow(0.5, (nowMillis - beganMillis) / HALF_LIFE_MILLIS);
    beganMillis = nowMillis;
    pools.values().forEach(Pool::clear);
    workers.stream()
        .filter(Worker::countsForPool)
        .forEach(worker -> pool(worker.info.pool()).add(worker));
    hungry.stream()
        .filter(job -> job.spec.steps().stream().anyMatch(ShortTaskReserve::isShort))
        .forEach(job -> pool(table.current(job.spec.queue()).pool()).waiting += waiting(job));
    pools
        .values()
        .forEach(
            pool -> pool.peak = Math.max(kept * pool.peak, (double) (pool.held + pool.waiting)));
  }

  private static long waiting(Job job) {
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
    boolean isNew = task.spec.is(StepSpec.Trait.LASTS) && task.run == 0;
    return !isNew || pool(pool).admits(task.spec.reserved().cpuMillis());
  }

  /** Takes in that a task got a place in a pool. */
  void placed(Task task, String name) {
    Pool pool = pool(name);
    long cpu = task.spec.reserved().cpuMillis();
    pool.used += cpu;
    pool.pieces -= cpu;
    if (isShort(task.spec)) {
      pool.held += cpu;
      pool.usualTask += (pool.usualTask == 0 ? 1 : NEWEST) * (cpu - pool.usualTask);
    }
  }
}
