package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cottontack.core.id.WorkerId;

/**
 * Lives that may never list some ends and are not among the workers: those not heard of yet, which
 * the leader before has stored, and those that are no longer listed. A worker that is cut off from
 * the store lives on unlisted and comes back as the same life; one that stays away for longer than
 * that lasts is gone.
 */
final class HidingLives {

  /** Longest time for which a worker that is to come back is not listed, in milliseconds. */
  private static final long LONGEST_ABSENCE_MILLIS = 2 * 3_600_000;

  /** When each life was last known to be there or stored, the earliest first. */
  private final Map<WorkerLife, Long> seenMillis = new LinkedHashMap<>();

  /** Takes in that the worker of such a life is not listed, or not heard of yet. */
  void add(WorkerLife life, long nowMillis) {
    seenMillis.remove(life);
    seenMillis.put(life, nowMillis);
  }

  /** Takes in what an earlier leader knew, the latest first. */
  void inherit(Collection<WorkerLife> latestFirst, long nowMillis) {
    Deque<WorkerLife> earliestFirst = new ArrayDeque<>();
    latestFirst.forEach(earliestFirst::addFirst);
    earliestFirst.forEach(life -> add(life, nowMillis));
  }

  boolean contains(WorkerLife life) {
    return seenMillis.containsKey(life);
  }

  /** Takes in that it is known from a worker itself what its life hides. */
  void remove(WorkerId worker) {
    seenMillis.keySet().removeIf(life -> life.worker().equals(worker));
  }

  /**
   * Forgets lives whose workers have been away for too long.
   *
   * @param known whether a worker is there
   */
  void expire(Predicate<WorkerId> known, long nowMillis) {
    seenMillis.replaceAll((life, seen) -> known.test(life.worker()) ? nowMillis : seen);
    seenMillis.values().removeIf(seen -> nowMillis - seen > LONGEST_ABSENCE_MILLIS);
  }

  /** Returns all of them, the latest first. */
  Collection<WorkerLife> latestFirst() {
    Deque<WorkerLife> latest = new ArrayDeque<>();
    seenMillis.keySet().forEach(latest::addFirst);
    return latest;
  }
}
