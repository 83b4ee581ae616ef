package org.cottontack.core.job;

import java.util.Map;
import java.util.stream.Stream;

/**
 * The stored progress of one job, as a leader finds it.
 *
 * @param main the main row
 * @param parts the rows with tasks, by number. Rows that the main row does not list are left over
 *     from a save that did not end, or not removed yet.
 */
public record StoredProgress(String main, Map<Integer, String> parts) {

  /** Keeps the map immutable. */
  public StoredProgress {
    parts = Map.copyOf(parts);
  }

  /** Returns progress that is in the main row alone. */
  public static StoredProgress of(String main) {
    return new StoredProgress(main, Map.of());
  }

  /**
   * Returns the progress of a job without a main row.
   *
   * @param parts rows of tasks that are left over from a save that did not end
   */
  public static StoredProgress notStarted(Map<Integer, String> parts) {
    return new StoredProgress(String.valueOf(JobPhase.QUEUED.code()), parts);
  }

  /**
   * Returns the job's phase.
   *
   * @throws IllegalArgumentException if there is none
   */
  public JobPhase phase() {
    return ProgressText.phase(main);
  }

  /**
   * Returns whether the progress can be read. An unreadable one, damaged, incomplete or written by
   * another version, must not be treated as no progress, because its tasks may run or be done.
   */
  public boolean readable() {
    try {
      ProgressText.check(this);
      return true;
    } catch (IllegalArgumentException e) {
      // The caller logs which job it is.
      return false;
    }
  }

  /** Returns whether the job has ended and none of its tasks is on a worker any more. */
  public boolean ended() {
    return ProgressText.ended(main);
  }

  /** Returns whether the job no longer waits for the first start of a task. */
  public boolean begun() {
    return ProgressText.begun(this);
  }

  /** Returns the rows of tasks of the job, whether the main row lists them or not. */
  public Stream<ProgressRowId> rows(JobId job) {
    return parts.keySet().stream().map(number -> new ProgressRowId(job, number));
  }

  /** Returns a row of tasks that the main row lists. */
  String part(int number) {
    String text = parts.get(number);
    if (text == null) {
      throw new IllegalArgumentException("the row of tasks " + number + " is missing");
    }
    return text;
  }
}
