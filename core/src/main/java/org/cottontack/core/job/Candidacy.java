package org.cottontack.core.job;

/**
 * What an instance does about the lead where instances differ in size: whether it stands back when
 * the lead is free, and when it asks a smaller leader for it. By its own steady clock.
 */
public final class Candidacy {

  /**
   * Head start of larger instances when the lead is free, in milliseconds: over twice the 150 ms by
   * which they spread their takeovers, and a sixth of what a takeover takes anyway.
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
   * Creates the candidacy of an instance that has seen no request for the lead.
   *
   * @param own what the instance has for leading
   * @param minIntervalMillis least time from a hand-over, an own term, or a request in the same
   *     term to the next request
   */
  public Candidacy(Capacity own, long minIntervalMillis) {
    this.own = own;
    this.minIntervalMillis = minIntervalMillis;
  }

  /**
   * Returns how long this instance leaves a free lead to another, in milliseconds. The other is the
   * last leader, or who asked it for the lead: where no larger instance is left, the wait is paid
   * once.
   */
  public long takeoverDelayMillis(Capacity other) {
    return other.clearlyLargerThan(own) ? TAKEOVER_DELAY_MILLIS : 0;
  }

  /**
   * Takes in a request that lies in the store.
   *
   * @param nowMillis our steady clock
   * @param version its version
   * @param epoch the term that it holds for
   */
  public void requested(long nowMillis, long version, long epoch) {
    if (version != requestVersion) {
      requestVersion = version;
      requesting(nowMillis, epoch);
    }
  }

  /** Takes in that this instance asks for the lead in a term. */
  public void requesting(long nowMillis, long epoch) {
    requestEpoch = epoch;
    requestUntilMillis = nowMillis + minIntervalMillis;
  }

  /**
   * Takes in a hand-over that lies in the store.
   *
   * @param nowMillis our steady clock
   * @param version its version
   */
  public void handedOver(long nowMillis, long version) {
    if (version != handOverVersion) {
      handOverVersion = version;
      suppressRequests(nowMillis);
    }
  }

  /**
   * Asks for nothing for a while. An instance that has just lost the lead would get it back, lose
   * it again for the same reason, and each change stops all starts: nothing would run for most of
   * the time.
   */
  public void suppressRequests(long nowMillis) {
    suppressedUntilMillis = nowMillis + minIntervalMillis;
  }

  /**
   * Returns whether this instance should ask for the lead.
   *
   * @param nowMillis our steady clock
   * @param epoch the leader's term; one request a term is enough, and a new leader has none yet
   * @param leader what the leader has
   */
  public boolean mayRequest(long nowMillis, long epoch, Capacity leader) {
    boolean alreadyRequested = epoch == requestEpoch && nowMillis < requestUntilMillis;
    return !alreadyRequested && nowMillis >= suppressedUntilMillis && own.clearlyLargerThan(leader);
  }
}
