package org.cottontack.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Collects rows of progress for one transaction, within the limits of the store. */
final class SaveBatch {

  private final StoreLimits limits;
  private final Map<ProgressRowId, String> writes = new HashMap<>();
  private final Set<ProgressRowId> removals = new HashSet<>();
  private long bytes;

  SaveBatch(StoreLimits limits) {
    this.limits = limits;
  }

  /** Returns whether rows fit into one transaction of their own. */
  static boolean fitAlone(Map<ProgressRowId, String> rows, StoreLimits limits) {
    return new SaveBatch(limits).add(rows);
  }

  /**
   * Adds rows if all of them fit.
   *
   * @return whether they were added
   */
  boolean add(Map<ProgressRowId, String> rows) {
    long added = rows.values().stream().mapToLong(SaveBatch::sentBytes).sum();
    if (!hasRoom(added, rows.size())) {
      return false;
    }
    writes.putAll(rows);
    bytes += added;
    return true;
  }

  /**
   * Adds a row to remove if it fits.
   *
   * @return whether it was added
   */
  boolean addRemoval(ProgressRowId row) {
    long added = StoreLimits.sentBytes(0);
    if (!hasRoom(added, 1)) {
      return false;
    }
    removals.add(row);
    bytes += added;
    return true;
  }

  private boolean hasRoom(long addedBytes, int addedEntries) {
    return bytes + addedBytes <= limits.callBytes()
        && writes.size() + removals.size() + addedEntries <= limits.callEntries();
  }

  private static long sentBytes(String text) {
    return StoreLimits.sentBytes(ProgressText.bytes(text));
  }

  Map<ProgressRowId, String> writes() {
    return writes;
  }

  Set<ProgressRowId> removals() {
    return removals;
  }

  boolean isEmpty() {
    return writes.isEmpty() && removals.isEmpty();
  }
}
