package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * The steps for whose tasks no worker was found in the present placement pass. With hundreds of
 * waiting tasks and a few full workers, this saves the search for a task that needs at least as
 * much as one for which no worker was found.
 */
final class UnplaceableSteps {

  private record Entry(StepSpec step, String pool) {}

  private final List<Entry> entries = new ArrayList<>();

  void add(StepSpec step, JobQueue queue) {
    if (!covers(step, queue)) {
      entries.add(new Entry(step, queue.pool()));
    }
  }

  /** Returns whether the search for a worker can be skipped for a step's tasks. */
  boolean covers(StepSpec step, JobQueue queue) {
    return entries.stream()
        .anyMatch(r -> r.pool().equals(queue.pool()) && needsAtLeastAsMuch(step, r.step()));
  }

  private static boolean needsAtLeastAsMuch(StepSpec step, StepSpec other) {
    if (step.equals(other)) {
      return true;
    }
    return other.maxPerWorker() == 0
        && other.requiredLabel().isEmpty()
        && step.image().equals(other.image())
        && step.is(StepSpec.Trait.FILLS) == other.is(StepSpec.Trait.FILLS)
        && step.need().holds(other.need());
  }
}
