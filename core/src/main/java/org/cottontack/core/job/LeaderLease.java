package org.cottontack.core.job;

/**
 * When an instance may lead, by its own steady clock. The holder renews a row in the store; another
 * instance takes over after it watched the row unchanged for longer than the lease.
 */
public final class LeaderLease {

  /** How long a renewal lasts, counted from when it was sent. */
  public static final long LEASE_MILLIS = 2_000;

  /**
   * How long after the last renewal a leader without store may renew the leases of runs: long
   * enough to ride out an outage of the store, and waited out by the next leader for unreachable
   * workers.
   */
  public static final long RENEWING_MILLIS = 5_500;

  /** Watched silence after which the lease has lapsed, with margin for slow clocks. */
  static final long SILENCE_MILLIS = 2_300;

  /** Longest span between two observations that counts as watched. */
  static final long LONGEST_GAP_MILLIS = 700;

  private long watchedMillis;
  private long observedMillis = Long.MIN_VALUE;
  private long row = Long.MIN_VALUE;
  private long renewedMillis = Long.MIN_VALUE / 2;

  /**
   * Takes in a look at the lease row that succeeded.
   *
   * @param nowMillis our steady clock
   * @param version the row's version
   */
  public void observed(long nowMillis, long version) {
    if (version != row) {
      watchedMillis = 0;
    } else if (observedMillis != Long.MIN_VALUE) {
      // A process that slept, or had no store, saw nothing in between: the holder may have renewed.
      watchedMillis += Math.min(nowMillis - observedMillis, LONGEST_GAP_MILLIS);
    }
    row = version;
    observedMillis = nowMillis;
  }

  /** Returns whether the holder has been silent for longer than its lease. */
  public boolean lapsed(long backoffMillis) {
    return watchedMillis >= SILENCE_MILLIS + backoffMillis;
  }

  /** Takes in that our renewal, sent at the given time, is in the store. */
  public void renewed(long sentMillis) {
    renewedMillis = Math.max(renewedMillis, sentMillis);
  }

  /** Returns whether we may place and start work. */
  public boolean mayStart(long nowMillis) {
    return nowMillis - renewedMillis < LEASE_MILLIS;
  }

  /** Returns whether we may renew the leases of runs. */
  public boolean mayRenew(long nowMillis) {
    return nowMillis - renewedMillis < RENEWING_MILLIS;
  }
}
