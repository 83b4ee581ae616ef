package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cottontack.core.id.WorkerId;

/**
 * Lives that may never list some ends and are not among the workers: those not heard of yet, which
 * the leader before has stored, and those that are no longer listed. A worker that is cut off from
 * the store lives on unlisted and comes back as the same life; one that stays away for longer than
 * that lasts is gone.
 */
final class UnlistedSuppressions {

  /** Longest time for which a worker that is to come back is not listed, in milliseconds. */
  private static final long LONGEST_ABSENCE_MILLIS = 2 * 3_600_000;

  /**
   * What is known of a life.
   *
   * @param ends which ends it may never list; nothing where only the leader before knew
   * @param seenMillis when it was last known to be there or stored
   */
  private record Away(Optional<SuppressedCompletions> ends, long seenMillis) {

    Away seen(long nowMillis) {
      return new Away(ends, nowMillis);
    }
  }

  /** Those away for longest come first. */
  private final Map<WorkerIncarnation, Away> away = new LinkedHashMap<>();

  /** Takes in that the worker of such a life is not listed. */
  void add(WorkerIncarnation life, SuppressedCompletions ends, long nowMillis) {
    add(life, new Away(Optional.of(ends), nowMillis));
  }

  private void add(WorkerIncarnation life, Away known) {
    away.remove(life);
    away.put(life, known);
  }

  /** Takes in what an earlier leader knew, the latest first. */
  void inherit(Collection<WorkerIncarnation> latestFirst, long nowMillis) {
    Deque<WorkerIncarnation> earliestFirst = new ArrayDeque<>();
    latestFirst.forEach(earliestFirst::addFirst);
    earliestFirst.forEach(life -> add(life, new Away(Optional.empty(), nowMillis)));
  }

  /**
   * Returns which ends a life may never list that answers for the first time.
   *
   * @param leaseEndMillis when, on our clock, leases that others may have given it have ended
   */
  Optional<SuppressedCompletions> of(WorkerIncarnation life, long leaseEndMillis) {
    return Optional.ofNullable(away.get(life))
        .map(known -> known.ends().orElseGet(() -> SuppressedCompletions.any(leaseEndMillis)));
  }

  /** Takes in that it is known from a worker itself what its life hides. */
  void remove(WorkerId worker) {
    away.keySet().removeIf(life -> life.worker().equals(worker));
  }

  /**
   * Forgets lives whose workers have been away for too long.
   *
   * @param known whether a worker is there
   */
  void expire(Predicate<WorkerId> known, long nowMillis) {
    away.replaceAll((life, last) -> known.test(life.worker()) ? last.seen(nowMillis) : last);
    away.values().removeIf(last -> nowMillis - last.seenMillis() > LONGEST_ABSENCE_MILLIS);
  }

  /** Returns all of them, the latest first. */
  Collection<WorkerIncarnation> latestFirst() {
    Deque<WorkerIncarnation> latest = new ArrayDeque<>();
    away.keySet().forEach(latest::addFirst);
    return latest;
  }
}
