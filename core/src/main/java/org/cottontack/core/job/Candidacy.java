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
  public static final long STAND_BACK_MILLIS = 400;

  private final Capacity own;
  private final long gapMillis;
  private long requestVersion;
  private long quietUntilMillis = Long.MIN_VALUE;

  /**
   * Creates the candidacy of an instance that has seen no request for the lead.
   *
   * @param own what the instance has for leading
   * @param gapMillis least time from a request, a hand-over or an own term to the next request
   */
  public Candidacy(Capacity own, long gapMillis) {
    this.own = own;
    this.gapMillis = gapMillis;
  }

  /**
   * Returns how long this instance leaves a free lead to others, in milliseconds. It goes by the
   * last leader: where no larger instance is left, that wait is paid once.
   */
  public long standBackMillis(Capacity lastLeader) {
    return lastLeader.clearlyLargerThan(own) ? STAND_BACK_MILLIS : 0;
  }

  /**
   * Takes in a look at the row that changes with each request for the lead and each hand-over of a
   * leader that was cut off.
   *
   * @param nowMillis our steady clock
   * @param version the row's version, 0 while there is none
   */
  public void observed(long nowMillis, long version) {
    if (version != requestVersion) {
      requestVersion = version;
      keepQuiet(nowMillis);
    }
  }

  /**
   * Asks for nothing for a while. An instance that has just lost the lead would get it back, lose
   * it again for the same reason, and each change stops all starts: nothing would run for most of
   * the time. The same holds for one that was not answered.
   */
  public void keepQuiet(long nowMillis) {
    quietUntilMillis = nowMillis + gapMillis;
  }

  /** Returns whether this instance should ask for the lead. */
  public boolean mayAsk(long nowMillis, Capacity leader) {
    return nowMillis >= quietUntilMillis && own.clearlyLargerThan(leader);
  }
}
