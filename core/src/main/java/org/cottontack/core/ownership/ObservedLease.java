package org.cottontack.core.ownership;

/**
 * The lease of another member, as read from the store by this process.
 *
 * @param record the content of the lease row, or null if the member has no lease row
 * @param version the row's version
 * @param since monotonic time at which this version was first seen
 * @param ackSince monotonic time at which its acknowledged epoch was first seen
 */
record ObservedLease(LeaseRecord record, long version, long since, long ackSince) {

  long ackedEpoch() {
    return record == null ? 0 : record.ackedEpoch();
  }

  /**
   * Returns the observation that follows {@code before}. The times are kept while the version or
   * the acknowledged epoch is unchanged; otherwise they are set to {@code observedAt}.
   */
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
