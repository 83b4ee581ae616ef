package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;

/**
 * Decides which run on a crashed worker made it crash. One task may crash every worker that starts
 * it, at once or in the middle of its work, together with everything that runs there. Workers also
 * crash for other reasons, one at a time or a whole rack at once. A single crash does not show its
 * cause, so a task is blamed only if it has lost more workers before than every other task there.
 */
final class CrashBlame {

  /**
   * Number of crashes from which a task is a suspect. With a threshold of one, every task on a rack
   * that is lost for another reason would be a suspect and wait for a worker without another
   * suspect.
   */
  static final int SUSPECT_CRASHES = 2;

  /**
   * Number of times a task is blamed before it is abandoned. One is not enough, because a worker
   * may crash for another reason beside a suspect.
   */
  private static final int MAX_BLAMED = 2;

  /**
   * Number of crashes after which a task is abandoned whatever else ran on the workers. The
   * platform allows fewer than three starts after the third crash.
   */
  private static final int MAX_CRASHES = 5;

  /**
   * Number of crashes after which each further run counts as a crash, however it ends, because what
   * the platform limits from the third crash on is starts.
   */
  private static final int LAST_RUNS_CRASHES = 3;

  /**
   * Time for which a worker must have listed a run of a long-running task to clear it, in
   * milliseconds. Such a task runs on some worker all day and sees many workers crash for other
   * reasons.
   */
  private static final long CLEARED_MILLIS = 1_000;

  private CrashBlame() {}

  /**
   * Records that a worker crashed.
   *
   * @param runs the runs that had been placed there
   * @return the tasks to abandon
   */
  static List<Task> crashed(Collection<Task> runs) {
    List<Task> suspects = runs.stream().filter(CrashBlame::mayBeCause).toList();
    suspects.stream().filter(task -> likeliest(task, suspects)).forEach(task -> task.blamed++);
    suspects.forEach(task -> task.crashes++);
    return suspects.stream().filter(CrashBlame::shouldAbandon).toList();
  }

  /**
   * Records that runs ended without being done and without a known crash.
   *
   * @param runs the tasks that they were runs of
   * @return the tasks to abandon
   */
  static List<Task> endedUndone(Collection<Task> runs) {
    runs.stream().filter(task -> task.crashes >= LAST_RUNS_CRASHES).forEach(task -> task.crashes++);
    return runs.stream().filter(CrashBlame::shouldAbandon).toList();
  }

  /** Returns whether a run of a long-running task has shown that it does not crash its worker. */
  static boolean cleared(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS)
        && task.listedMillis - task.observedMillis >= CLEARED_MILLIS;
  }

  /** Returns whether a task may run only where there is no other suspect. */
  static boolean suspect(Task task) {
    return task.crashes >= SUSPECT_CRASHES;
  }

  private static boolean mayBeCause(Task task) {
    return task.mayHaveBegun() && !cleared(task);
  }

  private static boolean likeliest(Task task, List<Task> suspects) {
    boolean begunJustBefore =
        task.order == Task.Order.CONFIRMED && !listed(task) && !task.inherited();
    int minCrashes = begunJustBefore ? 1 : SUSPECT_CRASHES;
    return task.crashes >= minCrashes
        && suspects.stream()
            .filter(other -> other != task)
            .allMatch(other -> lessLikely(other, task));
  }

  /**
   * Returns whether {@code other} is a less likely cause of the crash than {@code task}. A run that
   * was listed has survived for a while, so an unlisted run of a task with earlier crashes may be
   * the cause instead.
   */
  private static boolean lessLikely(Task other, Task task) {
    boolean moreLikely = listed(task) && !listed(other) && other.crashes > 0;
    return other.crashes < task.crashes && !moreLikely;
  }

  private static boolean listed(Task task) {
    return task.listedMillis > 0;
  }

  private static boolean shouldAbandon(Task task) {
    return task.blamed >= MAX_BLAMED || task.crashes >= MAX_CRASHES;
  }
}
