package org.cottontack.core.ownership;

/**
 * Another member's lease as this process sees it.
 *
 * @param record the row's content, or null for a member without a lease row
 * @param version the row's version
 * @param since monotonic time at which this version was first seen
 * @param ackSince monotonic time at which its acknowledged epoch was first seen
 */
record ObservedLease(LeaseRecord record, long version, long since, long ackSince) {

  long ackedEpoch() {
    return record == null ? 0 : record.ackedEpoch();
  }

  static ObservedLease next(
      ObservedLease before, LeaseRecord record, long version, long observedAt) {
    if (before == null) {
      return new ObservedLease(record, version, observedAt, observedAt);
    }
    long acked = record == null ? 0 : record.ackedEpoch();
    return new ObservedLease(
        record,
        version,
        before.version == version ? before.since : observedAt,
        before.ackedEpoch() == acked ? before.ackSince : observedAt);
  }
}
