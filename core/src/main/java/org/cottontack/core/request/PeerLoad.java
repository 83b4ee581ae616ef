package org.cottontack.core.request;

/**
 * The free slots that another entry instance last reported, minus the requests sent to it since.
 *
 * @param address the address of that instance
 * @param freeSlots free slots that are left
 * @param at monotonic time of its report
 */
record PeerLoad(String address, int freeSlots, long at) {

  /** Maximum age of a report; older reports are ignored. */
  private static final long MAX_AGE_MILLIS = 2_500;

  boolean usable(long now) {
    return freeSlots > 0 && now - at <= MAX_AGE_MILLIS;
  }

  PeerLoad withoutFreeSlots() {
    return new PeerLoad(address, 0, at);
  }

  PeerLoad withOneSlotUsed() {
    return new PeerLoad(address, freeSlots - 1, at);
  }
}
