package org.cottontack.core.job;

import org.cottontack.core.Moment;

/**
 * When an instance may lead, by its own clocks. The holder renews a row in the store; another
 * instance takes over after it watched the row unchanged for longer than the lease.
 */
public final class LeaderLease {

  /** How long a renewal lasts, in milliseconds, counted from when it was sent. */
  public static final long LEASE_MILLIS = 2_000;

  /**
   * How long after a renewal was sent the leases that the leader gives to workers may last, in
   * milliseconds. The next leader waits that long after the last renewal before it restarts what
   * ran on a worker that it cannot reach: with 8.5 s a lasting task is back 9 s after its worker
   * and its leader were lost together (17 s with leases of 8.5 s that a leader without store went
   * on to give for 5.5 s). Renewals come twice and looks at workers once a second, so that a worker
   * cut off for 6.5 s still keeps what it runs.
   */
  public static final long GRANT_MILLIS = 8_500;

  /**
   * Watched silence, in milliseconds, after which the lease has lapsed: the lease, by a holder's
   * clock that is 2 % slow and a watcher's that is 2 % fast.
   */
  static final long SILENCE_MILLIS = 2_100;

  /** Longest span between two observations that counts as watched, in milliseconds. */
  static final long LONGEST_GAP_MILLIS = 700;

  private static final Moment NEVER = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  private long watchedMillis;
  private long observedMillis = Long.MIN_VALUE;
  private long changedMillis;
  private long lastVersion = Long.MIN_VALUE;
  private Moment renewal = NEVER;

  /**
   * Takes in a look at the lease row that succeeded.
   *
   * @param nowMillis our steady clock
   * @param version the row's version
   */
  public void observed(long nowMillis, long version) {
    if (version != lastVersion) {
      watchedMillis = 0;
      changedMillis = nowMillis;
    } else if (observedMillis != Long.MIN_VALUE) {
      // A process that slept, or had no store, saw nothing in between: the holder may have renewed.
      watchedMillis += Math.min(nowMillis - observedMillis, LONGEST_GAP_MILLIS);
    }
    lastVersion = version;
    observedMillis = nowMillis;
  }

  /** Returns whether the holder has been silent for longer than its lease. */
  public boolean expired() {
    return untilExpiryMillis() <= 0;
  }

  /** Returns for how long the holder must still be silent until its lease has lapsed. */
  public long untilExpiryMillis() {
    return SILENCE_MILLIS - watchedMillis;
  }

  /**
   * Returns the steady time, in milliseconds, at which the row as it stands was first seen: it was
   * written, and its renewal sent, no later.
   */
  public long changedMillis() {
    return changedMillis;
  }

  /** Takes in that our renewal, sent at the given time, is in the store. */
  public void renewed(Moment sent) {
    if (sent.mono() > renewal.mono()) {
      renewal = sent;
    }
  }

  /** Returns when our last renewal that is in the store was sent; long ago when there is none. */
  public Moment renewal() {
    return renewal;
  }

  /**
   * Returns whether we may place and start work. By the steady clock alone a leader that was
   * suspended through a takeover would go on as if its renewal were fresh, give leases that outlast
   * the wait of the next one, and tasks would run twice; so the time of day counts as well.
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
   * @param now the time
   */
  static long grantEnd(Moment renewal, Moment now) {
    return now.mono() + GRANT_MILLIS - now.longestSince(renewal);
  }
}
