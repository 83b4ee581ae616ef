package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The steps for whose tasks no worker was found in the present placement pass. With hundreds of
 * waiting tasks and a few full workers, this saves the search for a task that needs at least as
 * much as one for which no worker was found.
 *
 * <p>What was found for one task says nothing about tasks to which the reason does not apply: the
 * reserve for short tasks refuses only tasks that never ran, a suspect needs a worker without
 * another one, and a spread limit counts the tasks of one step. An entry therefore covers only
 * tasks that are restricted in the same way.
 */
final class UnplaceableSteps {

  /**
   * What restricts a task, and may not restrict other tasks of its step.
   *
   * @param neverRan whether the reserve for short tasks applies to it
   * @param suspect whether it needs a worker without another suspect
   */
  private record Restrictions(boolean neverRan, boolean suspect) {

    static Restrictions of(Task task) {
      return new Restrictions(ShortTaskReserve.appliesTo(task), CrashBlame.suspect(task));
    }

    boolean include(Restrictions other) {
      return (neverRan || !other.neverRan) && (suspect || !other.suspect);
    }
  }

  private record Entry(StepSpec step, String pool) {}

  /** Steps of which no task finds a worker, whatever their own restrictions are. */
  private final List<Entry> entries = new ArrayList<>();

  /** For each step of a job, the restrictions with which its tasks find no worker. */
  private final Map<StepId, List<Restrictions>> restricted = new HashMap<>();

  /** Records that the reserve for short tasks refuses a task. */
  void addRefusedByReserve(Task task) {
    addRestricted(task, new Restrictions(true, false));
  }

  /**
   * Records that no worker was found for a task.
   *
   * @param byItself whether only restrictions of the task or of its job are the reason
   */
  void add(Task task, JobQueue queue, boolean byItself) {
    addRestricted(task, new Restrictions(false, byItself && CrashBlame.suspect(task)));
    if (!byItself && !covers(task.spec, queue)) {
      entries.add(new Entry(task.spec, queue.pool()));
    }
  }

  private void addRestricted(Task task, Restrictions restrictions) {
    restricted.computeIfAbsent(task.name.step(), any -> new ArrayList<>(1)).add(restrictions);
  }

  /** Returns whether a task of the same step, restricted no more than this one, found no worker. */
  boolean coversStepOf(Task task) {
    List<Restrictions> found = restricted.getOrDefault(task.name.step(), List.of());
    if (found.isEmpty()) {
      return false;
    }
    // Each placement pass asks this for thousands of tasks.
    Restrictions restrictions = Restrictions.of(task);
    for (Restrictions other : found) {
      if (restrictions.include(other)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the search for a worker can be skipped for a step's tasks. */
  boolean covers(StepSpec step, JobQueue queue) {
    return entries.stream()
        .anyMatch(r -> r.pool().equals(queue.pool()) && needsAtLeastAsMuch(step, r.step()));
  }

  private static boolean needsAtLeastAsMuch(StepSpec step, StepSpec other) {
    if (!other.requiredLabel().isEmpty()) {
      return step.equals(other);
    }
    return step.need().holds(other.need())
        && step.image().equals(other.image())
        && step.is(StepSpec.Trait.FILLS) == other.is(StepSpec.Trait.FILLS)
        && (other.is(StepSpec.Trait.LASTS) || !step.is(StepSpec.Trait.LASTS))
        && SuppressedCompletions.restrictAtLeastAsMuch(step, other);
  }
}
