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

  private final Map<WorkerIncarnation, DeferredAcknowledgements> ends = new HashMap<>();

  /** Takes in the lowest number that an earlier leader held on each life. */
  void inherit(Map<WorkerIncarnation, Long> first, long untilMillis) {
    first.forEach(
        (life, number) ->
            ends.computeIfAbsent(life, key -> new DeferredAcknowledgements())
                .inherit(number, untilMillis));
  }

  /** Takes in what is held on a life whose worker is dropped. */
  void add(WorkerIncarnation life, DeferredAcknowledgements held) {
    ends.put(life, held);
  }

  /** Returns what is held on a life that is not among the workers, if anything is. */
  Optional<DeferredAcknowledgements> of(WorkerIncarnation life) {
    return Optional.ofNullable(ends.get(life));
  }

  /** Returns what is held on a life that answers, and leaves it to its worker. */
  DeferredAcknowledgements take(WorkerIncarnation life) {
    DeferredAcknowledgements held = ends.remove(life);
    return held == null ? new DeferredAcknowledgements() : held;
  }

  /** Returns the lowest number that is held on each life. */
  Map<WorkerIncarnation, Long> first(long nowMillis) {
    ends.values().removeIf(held -> held.first(nowMillis).isEmpty());
    return ends.entrySet().stream()
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, entry -> entry.getValue().first(nowMillis).orElseThrow()));
  }
}
