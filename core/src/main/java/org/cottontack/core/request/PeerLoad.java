package org.cottontack.core.request;

/**
 * What another entry instance last said it could take, less what was sent there since.
 *
 * @param address where it is reached
 * @param freeSlots slots left
 * @param at monotonic time of its report
 */
record PeerLoad(String address, int freeSlots, long at) {

  /** An older report is not acted on. */
  private static final long MAX_AGE_MILLIS = 2_500;

  boolean usable(long now) {
    return freeSlots > 0 && now - at <= MAX_AGE_MILLIS;
  }

  PeerLoad none() {
    return new PeerLoad(address, 0, at);
  }

  PeerLoad taken() {
    return new PeerLoad(address, freeSlots - 1, at);
  }
}
