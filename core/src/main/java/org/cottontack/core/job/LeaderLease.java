package org.cottontack.core.job;

import org.cottontack.core.Moment;

/**
 * Decides by this instance's own clocks when it may lead. The holder of the lease renews a row in
 * the store. Another instance takes over after it watched the row unchanged for longer than the
 * lease.
 */
public final class LeaderLease {

  /** Duration of a renewal in milliseconds, counted from when it was sent. */
  public static final long LEASE_MILLIS = 2_000;

  /**
   * How long after a renewal was sent the leases that the leader gives to workers may last, in
   * milliseconds. The next leader waits that long after the last renewal before it restarts the
   * runs of a worker that it cannot reach, unless an earlier end of its leases is stored. With 8.5
   * s, a long-running task is back 9 s after its worker and its leader were lost together. It would
   * be 17 s if a leader without access to the store went on giving leases of 8.5 s for 5.5 s.
   * Renewals are sent twice a second and workers polled once a second, so that a worker which is
   * cut off for 6.5 s still keeps its runs.
   */
  public static final long GRANT_MILLIS = 8_500;

  /**
   * Time without a renewal, in milliseconds of watching, after which the lease has expired. It
   * covers the lease when the holder's clock is 2 % slow and the watcher's 2 % fast.
   */
  static final long SILENCE_MILLIS = 2_100;

  /** Longest time between two observations that counts as watched, in milliseconds. */
  static final long MAX_GAP_MILLIS = 700;

  private static final Moment NEVER = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  private long watchedMillis;
  private long observedMillis = Long.MIN_VALUE;
  private long changedMillis;
  private long lastVersion = Long.MIN_VALUE;
  private Moment renewal = NEVER;

  /**
   * Records a successful read of the lease row.
   *
   * @param nowMillis our steady clock
   * @param version the row's version
   */
  public void observed(long nowMillis, long version) {
    if (version != lastVersion) {
      watchedMillis = 0;
      changedMillis = nowMillis;
    } else if (observedMillis != Long.MIN_VALUE) {
      // A process that slept or had no access to the store saw nothing in between, and the holder
      // may have renewed the lease.
      watchedMillis += Math.min(nowMillis - observedMillis, MAX_GAP_MILLIS);
    }
    lastVersion = version;
    observedMillis = nowMillis;
  }

  /** Returns whether the holder has not renewed for longer than its lease. */
  public boolean expired() {
    return untilExpiryMillis() <= 0;
  }

  /** Returns for how much longer the row must be watched unchanged until the lease has expired. */
  public long untilExpiryMillis() {
    return SILENCE_MILLIS - watchedMillis;
  }

  /**
   * Returns the steady time, in milliseconds, at which the row's present version was first read. It
   * was written, and its renewal sent, no later than that.
   */
  public long changedMillis() {
    return changedMillis;
  }

  /** Records that our renewal, sent at the given time, is in the store. */
  public void renewed(Moment sent) {
    if (sent.mono() > renewal.mono()) {
      renewal = sent;
    }
  }

  /**
   * Returns when our last renewal that is in the store was sent; a time long ago if there is none.
   */
  public Moment renewal() {
    return renewal;
  }

  /**
   * Returns whether we may place and start work. The time of day is checked as well as the steady
   * clock: by the steady clock alone, a leader that was suspended during a takeover would treat its
   * renewal as fresh and give leases that outlast the wait of the next leader, so that tasks would
   * run twice.
   */
  public boolean mayStart(Moment now) {
    return now.longestSince(renewal) < LEASE_MILLIS;
  }

  /** Returns whether we may renew the leases of runs. */
  public boolean mayRenew(Moment now) {
    return now.longestSince(renewal) < GRANT_MILLIS;
  }

  /**
   * Returns the latest end, on our steady clock, of leases that are given now.
   *
   * @param renewal when the leader's last renewal was sent
   * @param now the present time
   */
  static long grantEnd(Moment renewal, Moment now) {
    return now.mono() + GRANT_MILLIS - now.longestSince(renewal);
  }
}
