package org.cottontack.daemon.job;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.StoreLimits;

/**
 * Wraps the platform's store and tracks, over all calls of this instance, whether the store answers
 * and how long its responses take. Callers use this to reject a request at once when it cannot be
 * stored, and to repeat a call to a slow store only after a timeout that fits its recent latency.
 * Confined to the event loop.
 */
public final class WatchedStore implements TableStore {

  private static final Logger LOG = LogManager.getLogger(WatchedStore.class);

  /**
   * Time without any response, while at least one is due, after which the store counts as
   * unavailable, in milliseconds; refusals do not count as responses. In a store that is 60 times
   * slower than usual, reads take 250 ms and transactions 500 ms. Callers wait 3 s, so they still
   * have time to try another instance.
   */
  static final long SILENCE_LIMIT_MILLIS = 700;

  /**
   * Shortest time before a call is repeated, in milliseconds: 20 times the usual latency of the
   * store.
   */
  private static final long MIN_RETRY_TIMEOUT_MILLIS = 400;

  /** Longest time before a call is repeated, in milliseconds. */
  private static final long MAX_RETRY_TIMEOUT_MILLIS = 2_000;

  /** Ratio of the time before a call is repeated to the recent peak latency. */
  private static final int RETRY_TIMEOUT_FACTOR = 4;

  /** Half-life of the recorded peak latency, in milliseconds. */
  private static final double LATENCY_HALF_LIFE_MILLIS = 2_000;

  /** Interval between checks for overdue responses, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /**
   * Longest part of the time between two checks that counts as silence, in milliseconds. A process
   * that was paused, or that gets little processor time at startup, has responses that it has not
   * read yet. If the whole pause counted, callers would be rejected for seconds although the store
   * had answered.
   */
  private static final long MAX_CHECK_GAP_MILLIS = 150;

  private static final long NEVER = Long.MAX_VALUE;

  private final TableStore store;
  private final Timers timers;
  private final Set<Call> openCalls = new LinkedHashSet<>();
  private long lastResponseMillis;
  private long earliestMissedMillis = NEVER;
  private double peakLatencyMillis;
  private long peakLatencyAtMillis;
  private long lastCheckMillis;
  private long silentMillis;
  private boolean unavailable;

  /** Creates a wrapper of a store. */
  public WatchedStore(TableStore store, Timers timers) {
    this.store = store;
    this.timers = timers;
    this.lastResponseMillis = timers.now().mono();
    this.lastCheckMillis = lastResponseMillis;
    timers.after(CHECK_INTERVAL_MILLIS, this::checkSilence);
  }

  private void checkSilence() {
    long now = timers.now().mono();
    long earliestDueMillis =
        openCalls.stream().mapToLong(call -> call.dueMillis).min().orElse(NEVER);
    long silentSinceMillis =
        Math.max(Math.min(earliestDueMillis, earliestMissedMillis), lastResponseMillis);
    long elapsedMillis =
        Math.min(now - Math.max(lastCheckMillis, silentSinceMillis), MAX_CHECK_GAP_MILLIS);
    silentMillis = silentSinceMillis < now ? silentMillis + elapsedMillis : 0;
    lastCheckMillis = now;
    setUnavailable(silentMillis >= SILENCE_LIMIT_MILLIS);
    timers.after(CHECK_INTERVAL_MILLIS, this::checkSilence);
  }

  private void setUnavailable(boolean next) {
    if (next == unavailable) {
      return;
    }
    unavailable = next;
    LOG.info(
        new StringMapMessage()
            .with("event", next ? "store.away" : "store.back")
            .with("silentMillis", timers.now().mono() - lastResponseMillis)
            .with("open", openCalls.size()));
  }

  /** A call in flight, with the time at which its response is due. */
  private final class Call {
    private final long dueMillis;

    Call(long waitMillis) {
      dueMillis = timers.now().mono() + waitMillis;
      openCalls.add(this);
    }

    void completed(boolean answered) {
      openCalls.remove(this);
      if (answered) {
        recordResponse(timers.now().mono());
      } else {
        earliestMissedMillis = Math.min(earliestMissedMillis, dueMillis);
      }
    }

    private void recordResponse(long nowMillis) {
      peakLatencyMillis = Math.max(decayedPeakLatency(nowMillis), (double) (nowMillis - dueMillis));
      peakLatencyAtMillis = nowMillis;
      lastResponseMillis = nowMillis;
      earliestMissedMillis = NEVER;
      silentMillis = 0;
      setUnavailable(false);
    }
  }

  private double decayedPeakLatency(long nowMillis) {
    return peakLatencyMillis
        * Math.pow(0.5, (nowMillis - peakLatencyAtMillis) / LATENCY_HALF_LIFE_MILLIS);
  }

  private <T> Consumer<T> tracked(long waitMillis, Predicate<T> answered, Consumer<T> done) {
    Call call = new Call(waitMillis);
    return response -> {
      call.completed(answered.test(response));
      done.accept(response);
    };
  }

  @Override
  public void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
    store.commit(transaction, timeoutMillis, tracked(0, CommitResult::served, done));
  }

  @Override
  public StoreLimits limits() {
    return store.limits();
  }

  @Override
  public void scan(String table, String part, String prefix, Consumer<Scan> done) {
    store.scan(table, part, prefix, tracked(0, Scan::answered, done));
  }

  @Override
  public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
    store.watch(table, after, waitMillis, tracked(waitMillis, Changes::answered, done));
  }

  /** Returns whether the store appears to serve no calls of this instance. */
  public boolean unavailable() {
    return unavailable;
  }

  /** Sends a minimal read to find out whether the store answers. */
  void probe() {
    scan(JobTables.LEADER, JobTables.LEADER_PART, JobTables.LEADER_PART, scan -> {});
  }

  /** Returns whether the store has answered any call after a given time. */
  boolean answeredSince(long millis) {
    return lastResponseMillis > millis;
  }

  /** Returns how long to wait for a response before a call is repeated, in milliseconds. */
  long retryTimeoutMillis() {
    double timeout = RETRY_TIMEOUT_FACTOR * decayedPeakLatency(timers.now().mono());
    return (long) Math.max(MIN_RETRY_TIMEOUT_MILLIS, Math.min(MAX_RETRY_TIMEOUT_MILLIS, timeout));
  }
}
