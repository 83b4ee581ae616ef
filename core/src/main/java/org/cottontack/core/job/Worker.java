package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;

/** What the leader knows of a worker; confined to {@link JobScheduler}. */
final class Worker {

  WorkerInfo info;
  final WorkerClock clock = new WorkerClock();
  final Map<RunKey, Task> placed = new HashMap<>();
  final Map<RunKey, Resources> strays = new HashMap<>();
  final Map<RunKey, Long> stopsSent = new HashMap<>();
  boolean registered;
  boolean heard;
  boolean silent;
  boolean looking;
  long lookedMillis = Long.MIN_VALUE / 2;
  long avoidUntilMillis;
  long seenEnd;
  long acknowledgedEnd;
  long savedEnd;
  long inheritedLapseMillis;
  Resources used = Resources.NONE;
  long fillingCpu;

  Worker(WorkerInfo info, long inheritedLapseMillis) {
    this.info = info;
    this.inheritedLapseMillis = inheritedLapseMillis;
  }

  /** Returns whether new work may be placed here. */
  boolean usable(long nowMillis) {
    return registered && heard && !silent && !info.draining() && nowMillis >= avoidUntilMillis;
  }

  Resources free() {
    return info.capacity().minus(used);
  }

  /** Returns processor time that neither reservations nor tasks that fill use. */
  long leftoverCpu() {
    return free().cpuMillis() - fillingCpu;
  }

  /** Returns when all leases, our own and those of leaders before us, have certainly ended. */
  long lapsedMillis() {
    return Math.max(clock.allLapsedMillis(), inheritedLapseMillis);
  }

  void add(Task task) {
    placed.put(task.key(), task);
    count(task.spec, 1);
  }

  void remove(Task task) {
    if (placed.remove(task.key()) != null) {
      count(task.spec, -1);
    }
  }

  void addStray(RunKey run, Resources amount) {
    if (strays.putIfAbsent(run, amount) == null) {
      used = used.plus(amount);
    }
  }

  void removeStray(RunKey run) {
    Resources amount = strays.remove(run);
    if (amount != null) {
      used = used.minus(amount);
    }
  }

  private void count(StepSpec spec, int sign) {
    used = sign > 0 ? used.plus(spec.reserved()) : used.minus(spec.reserved());
    if (spec.is(StepSpec.Trait.FILLS)) {
      fillingCpu += sign * spec.need().cpuMillis();
    }
  }

  long tasksOf(StepId step) {
    return placed.keySet().stream().filter(run -> run.task().step().equals(step)).count();
  }

  boolean serving() {
    return placed.values().stream().anyMatch(task -> task.spec.serves());
  }
}
