package org.cottontack.core.job;

/**
 * Limits of the store for one transaction.
 *
 * @param rowBytes largest content of a row, in bytes
 * @param callBytes largest transaction as it is sent, in bytes
 * @param callEntries largest number of expected versions, writes and removals together
 */
public record StoreLimits(int rowBytes, int callBytes, int callEntries) {

  /** Largest content of each row that belongs to no job where rows are not smaller, in bytes. */
  private static final int SHARED_ROW_BYTES = 32_000;

  /** The limits where a deployment states no others. */
  public static final StoreLimits STANDARD = new StoreLimits(65_536, 1_000_000, 100);

  /**
   * Bytes that a row takes beside its content, for its key and the names of fields. Keys are texts
   * of at most 200 bytes.
   */
  private static final int ROW_OVERHEAD_BYTES = 400;

  /** Short rows, and expected versions, beside a large row. */
  private static final int SHORT_ROWS = 5;

  /** Contents are sent in base64, which takes four bytes for each three. */
  private static final int RAW_BYTES = 3;

  private static final int SENT_BYTES = 4;

  /** Returns at most how many bytes a row takes in a transaction. */
  public static long sentBytes(long contentBytes) {
    return SENT_BYTES * ((contentBytes + RAW_BYTES - 1) / RAW_BYTES) + ROW_OVERHEAD_BYTES;
  }

  /** Returns the largest content that fits into a row and, with a few short ones, into a call. */
  public int contentBytes() {
    int freeBytes = callBytes - SHORT_ROWS * ROW_OVERHEAD_BYTES;
    return Math.min(rowBytes, freeBytes / SENT_BYTES * RAW_BYTES);
  }

  /** Returns the largest content of each row that belongs to no job, in bytes. */
  public int sharedRowBytes() {
    return Math.min(SHARED_ROW_BYTES, rowBytes / 2);
  }

  /** Returns the same limits without what other rows of the transaction take. */
  StoreLimits without(int bytes, int entries) {
    return new StoreLimits(rowBytes, callBytes - bytes, callEntries - entries);
  }

  /** Returns the same limits with another one for rows. */
  StoreLimits withRowBytes(int bytes) {
    return new StoreLimits(bytes, callBytes, callEntries);
  }

  /** Returns limits that let two transactions fit into one. */
  StoreLimits half() {
    return new StoreLimits(rowBytes, callBytes / 2, callEntries / 2);
  }
}
