package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * What found no worker in one pass over the waiting tasks. The load is hundreds of waiting tasks
 * and a few full workers: a task that asks for at least as much as one that found nothing is not
 * tried.
 */
final class UnplaceableSteps {

  private record Entry(StepSpec step, String pool) {}

  private final List<Entry> entries = new ArrayList<>();

  void add(StepSpec step, JobQueue queue) {
    if (!covers(step, queue)) {
      entries.add(new Entry(step, queue.pool()));
    }
  }

  /** Returns whether a step's tasks need not be tried. */
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
