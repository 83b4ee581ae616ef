package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;

/**
 * Judges which of the runs on a crashed worker made it crash. The load: one task crashes every
 * worker that starts it, at once or in the middle of its work, and takes all that runs there with
 * it; beside it workers crash by themselves, one at a time or a rack at once. A single crash tells
 * no cause, so a task is blamed only where it lost more workers before than all others there.
 */
final class CrashBlame {

  /**
   * Crashes from which on a task is a suspect. With one, everything on a rack that is lost by
   * itself would be, and wait for workers without another suspect.
   */
  static final int SUSPECT_CRASHES = 2;

  /** Times blamed after which a task is given up: a worker may crash by itself beside a suspect. */
  private static final int MOST_BLAMED = 2;

  /**
   * Crashes after which a task is given up whatever else ran there. The platform allows less than
   * three starts after the third crash.
   */
  private static final int MOST_CRASHES = 5;

  /**
   * Crashes after which each further run counts like one, however it ends: what the platform bounds
   * from the third crash on are starts.
   */
  private static final int LAST_RUNS_CRASHES = 3;

  /**
   * Time for which a worker has to have listed a lasting run to clear it, in milliseconds. A
   * lasting run is on some worker all day and sees many crash, none of them for its sake.
   */
  private static final long CLEARED_MILLIS = 1_000;

  private CrashBlame() {}

  /**
   * Takes in that a worker crashed.
   *
   * @param runs what had been placed there
   * @return tasks that are to be given up
   */
  static List<Task> crashed(Collection<Task> runs) {
    List<Task> suspects = runs.stream().filter(CrashBlame::mayBeCause).toList();
    suspects.stream().filter(task -> likeliest(task, suspects)).forEach(task -> task.blamed++);
    suspects.forEach(task -> task.crashes++);
    return suspects.stream().filter(CrashBlame::shouldAbandon).toList();
  }

  /**
   * Takes in that runs ended without being done, and without a crash that is known.
   *
   * @param runs the tasks that they were runs of
   * @return tasks that are to be given up
   */
  static List<Task> endedUndone(Collection<Task> runs) {
    runs.stream().filter(task -> task.crashes >= LAST_RUNS_CRASHES).forEach(task -> task.crashes++);
    return runs.stream().filter(CrashBlame::shouldAbandon).toList();
  }

  /** Returns whether a lasting run has shown that it does not crash its worker. */
  static boolean cleared(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS)
        && task.listedMillis - task.placedMillis >= CLEARED_MILLIS;
  }

  /** Returns whether a task is to run where no other suspect does. */
  static boolean suspect(Task task) {
    return task.crashes >= SUSPECT_CRASHES;
  }

  private static boolean mayBeCause(Task task) {
    return task.mayHaveBegun() && !cleared(task);
  }

  private static boolean likeliest(Task task, List<Task> suspects) {
    boolean begunJustBefore = task.order == Task.Order.CONFIRMED && !listed(task);
    int least = begunJustBefore ? 1 : SUSPECT_CRASHES;
    return task.crashes >= least
        && suspects.stream()
            .filter(other -> other != task)
            .allMatch(other -> lessLikely(other, task));
  }

  /** A run that was listed has lived for a while; one that was not, and has a past, may be it. */
  private static boolean lessLikely(Task other, Task task) {
    boolean sooner = listed(task) && !listed(other) && other.crashes > 0;
    return other.crashes < task.crashes && !sooner;
  }

  private static boolean listed(Task task) {
    return task.listedMillis > 0;
  }

  private static boolean shouldAbandon(Task task) {
    return task.blamed >= MOST_BLAMED || task.crashes >= MOST_CRASHES;
  }
}
