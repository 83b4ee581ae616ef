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
 * Incarnations with suppressed completions that are not among the known workers: those that have
 * not answered yet, which the previous leader stored, and those that are no longer listed. A worker
 * that is cut off from the store keeps running while it is unlisted and comes back as the same
 * incarnation. One that is unlisted for longer than such an outage lasts is gone.
 */
final class UnlistedSuppressions {

  /** Longest time for which a worker that comes back is not listed, in milliseconds. */
  private static final long MAX_ABSENCE_MILLIS = 2 * 3_600_000;

  /**
   * State of an unlisted incarnation.
   *
   * @param suppressed its suppressed completions; empty if only the previous leader knew them
   * @param seenMillis when it was last listed or stored
   */
  private record Unlisted(Optional<SuppressedCompletions> suppressed, long seenMillis) {

    Unlisted seen(long nowMillis) {
      return new Unlisted(suppressed, nowMillis);
    }
  }

  /** The entries that are unlisted for longest come first. */
  private final Map<WorkerIncarnation, Unlisted> unlisted = new LinkedHashMap<>();

  /** Records that the worker of an incarnation with suppressed completions is not listed. */
  void add(WorkerIncarnation incarnation, SuppressedCompletions suppressed, long nowMillis) {
    add(incarnation, new Unlisted(Optional.of(suppressed), nowMillis));
  }

  private void add(WorkerIncarnation incarnation, Unlisted known) {
    unlisted.remove(incarnation);
    unlisted.put(incarnation, known);
  }

  /** Records the incarnations that an earlier leader stored, latest first. */
  void inherit(Collection<WorkerIncarnation> latestFirst, long nowMillis) {
    Deque<WorkerIncarnation> earliestFirst = new ArrayDeque<>();
    latestFirst.forEach(earliestFirst::addFirst);
    earliestFirst.forEach(
        incarnation -> add(incarnation, new Unlisted(Optional.empty(), nowMillis)));
  }

  /**
   * Returns the suppressed completions of an incarnation that answers for the first time.
   *
   * @param leaseEndMillis when, on our clock, leases that others may have given it have ended
   */
  Optional<SuppressedCompletions> of(WorkerIncarnation incarnation, long leaseEndMillis) {
    return Optional.ofNullable(unlisted.get(incarnation))
        .map(
            known -> known.suppressed().orElseGet(() -> SuppressedCompletions.any(leaseEndMillis)));
  }

  /**
   * Removes the incarnations of a worker, because its own answers now show which completions are
   * suppressed.
   */
  void remove(WorkerId worker) {
    unlisted.keySet().removeIf(incarnation -> incarnation.worker().equals(worker));
  }

  /**
   * Removes incarnations whose workers have been unlisted for too long.
   *
   * @param known whether the leader currently has a worker with this identifier
   */
  void expire(Predicate<WorkerId> known, long nowMillis) {
    unlisted.replaceAll(
        (incarnation, last) -> known.test(incarnation.worker()) ? last.seen(nowMillis) : last);
    unlisted.values().removeIf(last -> nowMillis - last.seenMillis() > MAX_ABSENCE_MILLIS);
  }

  /** Returns all incarnations, latest first. */
  Collection<WorkerIncarnation> latestFirst() {
    Deque<WorkerIncarnation> latest = new ArrayDeque<>();
    unlisted.keySet().forEach(latest::addFirst);
    return latest;
  }
}
