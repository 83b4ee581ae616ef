package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Deferred acknowledgements of incarnations that are not among the known workers: those that the
 * previous leader stored, and those that are no longer listed. They may be listed again.
 */
final class UnlistedDeferrals {

  private final Map<WorkerIncarnation, DeferredAcknowledgements> deferrals = new HashMap<>();

  /** Records the lowest number that an earlier leader deferred on each incarnation. */
  void inherit(Map<WorkerIncarnation, Long> first, long untilMillis) {
    first.forEach(
        (incarnation, number) ->
            deferrals
                .computeIfAbsent(incarnation, key -> new DeferredAcknowledgements())
                .inherit(number, untilMillis));
  }

  /** Records the deferred acknowledgements of an incarnation whose worker is dropped. */
  void add(WorkerIncarnation incarnation, DeferredAcknowledgements deferred) {
    deferrals.put(incarnation, deferred);
  }

  /**
   * Returns the deferred acknowledgements of an incarnation that is not among the workers, if any.
   */
  Optional<DeferredAcknowledgements> of(WorkerIncarnation incarnation) {
    return Optional.ofNullable(deferrals.get(incarnation));
  }

  /**
   * Removes and returns the deferred acknowledgements of an incarnation that answers. Its worker
   * keeps them from then on.
   */
  DeferredAcknowledgements remove(WorkerIncarnation incarnation) {
    DeferredAcknowledgements deferred = deferrals.remove(incarnation);
    return deferred == null ? new DeferredAcknowledgements() : deferred;
  }

  /** Stops withholding the acknowledgements of a job's completions. */
  void stopWithholding(JobId job) {
    deferrals.values().forEach(deferred -> deferred.stopWithholding(job));
  }

  /** Returns the lowest number that is deferred on each incarnation. */
  Map<WorkerIncarnation, Long> first(long nowMillis) {
    deferrals.values().removeIf(deferred -> deferred.first(nowMillis).isEmpty());
    return deferrals.entrySet().stream()
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, entry -> entry.getValue().first(nowMillis).orElseThrow()));
  }
}
