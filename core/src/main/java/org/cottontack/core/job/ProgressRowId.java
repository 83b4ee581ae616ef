package org.cottontack.core.job;

import java.util.Optional;

/**
 * Identifies a row of the stored progress of a job.
 *
 * @param job the job
 * @param part number of the row among those with the job's tasks, from 1; {@link #MAIN} for the row
 *     with the job's phase
 */
public record ProgressRowId(JobId job, int part) {

  /** The part of the main row. */
  public static final int MAIN = 0;

  private static final char SEPARATOR = '/';

  /** Returns the main row of a job. */
  public static ProgressRowId main(JobId job) {
    return new ProgressRowId(job, MAIN);
  }

  /** Reads the key of a row of tasks; empty if the text is none. */
  public static Optional<ProgressRowId> parsePart(String key) {
    int end = key.lastIndexOf(SEPARATOR);
    if (end <= 0 || !key.substring(end + 1).matches("\\d{1,9}")) {
      return Optional.empty();
    }
    return Optional.of(
        new ProgressRowId(
            new JobId(key.substring(0, end)), Integer.parseInt(key.substring(end + 1))));
  }

  /** Returns whether this is the main row of its job. */
  public boolean isMain() {
    return part == MAIN;
  }

  /** Returns the key of the row, which is the job's identifier for the main row. */
  public String key() {
    return isMain() ? job.value() : job.value() + SEPARATOR + part;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ProgressRowId that && part == that.part && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * part + job.hashCode();
  }
}
