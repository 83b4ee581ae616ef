package org.cottontack.core.job;

/**
 * Decides when an instance seeks leadership, where instances differ in size: how long it leaves a
 * vacant leadership to larger instances, and when it requests leadership from a smaller leader. All
 * times are on its own steady clock.
 */
public final class Candidacy {

  /**
   * Delay before an instance takes over a vacant leadership that a larger one may take, in
   * milliseconds. It is more than twice the 150 ms over which instances spread their takeovers, and
   * a sixth of the time that a takeover takes anyway.
   */
  public static final long TAKEOVER_DELAY_MILLIS = 400;

  private final Capacity own;
  private final long minIntervalMillis;
  private long requestVersion;
  private long requestEpoch;
  private long requestUntilMillis;
  private long handOverVersion;
  private long suppressedUntilMillis = Long.MIN_VALUE;

  /**
   * Creates the candidacy of an instance that has seen no request for leadership.
   *
   * @param own the capacity of this instance
   * @param minIntervalMillis minimum time from a handover, from the end of an own term, or from a
   *     request in the same term to the next request
   */
  public Candidacy(Capacity own, long minIntervalMillis) {
    this.own = own;
    this.minIntervalMillis = minIntervalMillis;
  }

  /**
   * Returns how long this instance leaves a vacant leadership to another instance, in milliseconds.
   * The other instance is the last leader, or the one that requested leadership from it. Where no
   * larger instance is left, the delay therefore occurs only once.
   */
  public long takeoverDelayMillis(Capacity other) {
    return other.clearlyLargerThan(own) ? TAKEOVER_DELAY_MILLIS : 0;
  }

  /**
   * Records a request that was read from the store.
   *
   * @param nowMillis the present time on this instance's steady clock
   * @param version the version of the request
   * @param epoch the term for which the request was made
   */
  public void requested(long nowMillis, long version, long epoch) {
    if (version != requestVersion) {
      requestVersion = version;
      requesting(nowMillis, epoch);
    }
  }

  /** Records that this instance requests leadership in a term. */
  public void requesting(long nowMillis, long epoch) {
    requestEpoch = epoch;
    requestUntilMillis = nowMillis + minIntervalMillis;
  }

  /**
   * Records a handover that was read from the store.
   *
   * @param nowMillis the present time on this instance's steady clock
   * @param version the version of the handover
   */
  public void handedOver(long nowMillis, long version) {
    if (version != handOverVersion) {
      handOverVersion = version;
      suppressRequests(nowMillis);
    }
  }

  /**
   * Suppresses requests for the minimum interval. An instance that has just lost leadership would
   * get it back and lose it again for the same reason. Each change of leader stops all starts, so
   * nothing would run for most of the time.
   */
  public void suppressRequests(long nowMillis) {
    suppressedUntilMillis = nowMillis + minIntervalMillis;
  }

  /**
   * Returns whether this instance should request leadership.
   *
   * @param nowMillis the present time on this instance's steady clock
   * @param epoch the leader's term; one request per term is enough, and a new leader has none yet
   * @param leader the capacity of the leader
   */
  public boolean mayRequest(long nowMillis, long epoch, Capacity leader) {
    boolean alreadyRequested = epoch == requestEpoch && nowMillis < requestUntilMillis;
    return !alreadyRequested && nowMillis >= suppressedUntilMillis && own.clearlyLargerThan(leader);
  }
}
