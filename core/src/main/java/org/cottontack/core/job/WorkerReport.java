package org.cottontack.core.job;

import java.util.List;

/**
 * What a worker answers when it is looked at.
 *
 * @param startTimeMillis when the life that answered began; {@link
 *     WorkerIncarnation#UNKNOWN_START_TIME} where it does not say so
 * @param clockMillis the worker's own clock when it answered
 * @param running what runs on it
 * @param completions ends that were not acknowledged yet, oldest first
 */
public record WorkerReport(
    long startTimeMillis, long clockMillis, List<Running> running, List<Completion> completions) {

  /** Keeps the lists immutable. */
  public WorkerReport {
    running = List.copyOf(running);
    completions = List.copyOf(completions);
  }

  /**
   * A run in progress.
   *
   * @param task the task
   * @param run the run's number
   * @param checkpoint its newest checkpoint, empty when there is none
   * @param progress how far it has come, in percent; a lasting run is at work at 100
   * @param load tail of response times in milliseconds for a serving task, otherwise processor use
   */
  public record Running(TaskName task, int run, String checkpoint, int progress, double load) {}

  /**
   * A run that ended.
   *
   * @param number rises by one with each end on this life of the worker
   * @param task the task
   * @param run the run's number
   * @param status how it ended
   * @param checkpoint its last checkpoint, empty when there is none
   */
  public record Completion(
      long number, TaskName task, int run, CompletionStatus status, String checkpoint) {}

  /** How a run ends. */
  public enum CompletionStatus {
    /** Its work is done. */
    DONE,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped on order. */
    STOPPED,
    /** Its lease lapsed. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE
  }
}
