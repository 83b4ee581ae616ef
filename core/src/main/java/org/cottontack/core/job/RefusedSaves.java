package org.cottontack.core.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps what the store refuses apart from the other saves. A refused transaction does not show
 * which of its rows was at fault. So each of its jobs is saved alone next, and a job that is
 * refused alone is tried again with growing pauses while the others go on.
 */
final class RefusedSaves {

  /** First pause after a job was refused alone, in milliseconds. */
  private static final long MIN_PAUSE_MILLIS = 1_000;

  /** Longest pause, in milliseconds. */
  private static final long MAX_PAUSE_MILLIS = 60_000;

  private record Refusal(long pauseMillis, long retryMillis) {}

  private final Map<Job, Refusal> jobs = new LinkedHashMap<>();
  private long sharedRowsRetryMillis;

  /**
   * Records that a transaction with several jobs, or with rows that belong to no job, is refused.
   */
  void refusedTogether(Set<Job> together, long nowMillis) {
    together.forEach(job -> jobs.putIfAbsent(job, new Refusal(0, nowMillis)));
  }

  /**
   * Records that a job was refused alone.
   *
   * @return the pause until it is tried again, in milliseconds
   */
  long refusedAlone(Job job, long nowMillis) {
    long before = Optional.ofNullable(jobs.get(job)).map(Refusal::pauseMillis).orElse(0L);
    long pause = Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, 2 * before));
    jobs.put(job, new Refusal(pause, nowMillis + pause));
    return pause;
  }

  /** Records that the rows that belong to no job were refused, alone or with others. */
  void refusedSharedRows(long nowMillis) {
    sharedRowsRetryMillis = nowMillis + MIN_PAUSE_MILLIS;
  }

  /** Returns whether the rows that belong to no job may be saved. */
  boolean admitsSharedRows(long nowMillis) {
    return nowMillis >= sharedRowsRetryMillis;
  }

  /** Records that a job is saved. */
  void saved(Job job) {
    jobs.remove(job);
  }

  /** Returns whether a job is to be saved apart from others. */
  boolean isApart(Job job) {
    return jobs.containsKey(job);
  }

  /** Returns a job that is to be saved alone now. */
  Optional<Job> due(Set<Job> dirty, long nowMillis) {
    jobs.keySet().retainAll(dirty);
    return jobs.entrySet().stream()
        .filter(entry -> entry.getValue().retryMillis() <= nowMillis)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
