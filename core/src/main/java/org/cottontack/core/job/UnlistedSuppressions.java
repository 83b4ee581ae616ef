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
   * @param suppressed which ends it may never list; nothing where only the leader before knew
   * @param seenMillis when it was last known to be there or stored
   */
  private record Unlisted(Optional<SuppressedCompletions> suppressed, long seenMillis) {

    Unlisted seen(long nowMillis) {
      return new Unlisted(suppressed, nowMillis);
    }
  }

  /** Those away for longest come first. */
  private final Map<WorkerIncarnation, Unlisted> unlisted = new LinkedHashMap<>();

  /** Takes in that the worker of such a life is not listed. */
  void add(WorkerIncarnation incarnation, SuppressedCompletions suppressed, long nowMillis) {
    add(incarnation, new Unlisted(Optional.of(suppressed), nowMillis));
  }

  private void add(WorkerIncarnation incarnation, Unlisted known) {
    unlisted.remove(incarnation);
    unlisted.put(incarnation, known);
  }

  /** Takes in what an earlier leader knew, the latest first. */
  void inherit(Collection<WorkerIncarnation> latestFirst, long nowMillis) {
    Deque<WorkerIncarnation> earliestFirst = new ArrayDeque<>();
    latestFirst.forEach(earliestFirst::addFirst);
    earliestFirst.forEach(
        incarnation -> add(incarnation, new Unlisted(Optional.empty(), nowMillis)));
  }

  /**
   * Returns which ends a life may never list that answers for the first time.
   *
   * @param leaseEndMillis when, on our clock, leases that others may have given it have ended
   */
  Optional<SuppressedCompletions> of(WorkerIncarnation incarnation, long leaseEndMillis) {
    return Optional.ofNullable(unlisted.get(incarnation))
        .map(
            known -> known.suppressed().orElseGet(() -> SuppressedCompletions.any(leaseEndMillis)));
  }

  /** Takes in that it is known from a worker itself what its life hides. */
  void remove(WorkerId worker) {
    unlisted.keySet().removeIf(incarnation -> incarnation.worker().equals(worker));
  }

  /**
   * Forgets lives whose workers have been away for too long.
   *
   * @param known whether a worker is there
   */
  void expire(Predicate<WorkerId> known, long nowMillis) {
    unlisted.replaceAll(
        (incarnation, last) -> known.test(incarnation.worker()) ? last.seen(nowMillis) : last);
    unlisted.values().removeIf(last -> nowMillis - last.seenMillis() > LONGEST_ABSENCE_MILLIS);
  }

  /** Returns all of them, the latest first. */
  Collection<WorkerIncarnation> latestFirst() {
    Deque<WorkerIncarnation> latest = new ArrayDeque<>();
    unlisted.keySet().forEach(latest::addFirst);
    return latest;
  }
}
