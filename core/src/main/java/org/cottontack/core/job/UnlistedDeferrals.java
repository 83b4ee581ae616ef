package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Lives with held ends that are not among the workers heard of: those that the leader before has
 * stored, and those that are no longer listed. They may be listed again.
 */
final class UnlistedDeferrals {

  private final Map<WorkerIncarnation, DeferredAcknowledgements> deferrals = new HashMap<>();

  /** Takes in the lowest number that an earlier leader held on each life. */
  void inherit(Map<WorkerIncarnation, Long> first, long untilMillis) {
    first.forEach(
        (incarnation, number) ->
            deferrals
                .computeIfAbsent(incarnation, key -> new DeferredAcknowledgements())
                .inherit(number, untilMillis));
  }

  /** Takes in what is held on a life whose worker is dropped. */
  void add(WorkerIncarnation incarnation, DeferredAcknowledgements deferred) {
    deferrals.put(incarnation, deferred);
  }

  /** Returns what is held on a life that is not among the workers, if anything is. */
  Optional<DeferredAcknowledgements> of(WorkerIncarnation incarnation) {
    return Optional.ofNullable(deferrals.get(incarnation));
  }

  /** Returns what is held on a life that answers, and leaves it to its worker. */
  DeferredAcknowledgements remove(WorkerIncarnation incarnation) {
    DeferredAcknowledgements deferred = deferrals.remove(incarnation);
    return deferred == null ? new DeferredAcknowledgements() : deferred;
  }

  /** Returns the lowest number that is held on each life. */
  Map<WorkerIncarnation, Long> first(long nowMillis) {
    deferrals.values().removeIf(deferred -> deferred.first(nowMillis).isEmpty());
    return deferrals.entrySet().stream()
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, entry -> entry.getValue().first(nowMillis).orElseThrow()));
  }
}
