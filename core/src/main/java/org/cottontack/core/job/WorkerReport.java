package org.cottontack.core.job;

import java.util.List;

/**
 * A worker's response to a poll.
 *
 * @param startTimeMillis when the incarnation that answered started; {@link
 *     WorkerIncarnation#UNKNOWN_START_TIME} where it does not report it
 * @param clockMillis the worker's own clock when it answered
 * @param running the runs in progress
 * @param completions the completions that were not acknowledged yet, oldest first
 */
public record WorkerReport(
    long startTimeMillis, long clockMillis, List<Running> running, List<Completion> completions) {

  /** Maximum number of completions in one report. The platform specifies it. */
  static final int MAX_COMPLETIONS = 500;

  /** Keeps the lists immutable. */
  public WorkerReport {
    running = List.copyOf(running);
    completions = List.copyOf(completions);
  }

  /** Returns whether some runs may have ended whose completions are not listed yet. */
  boolean mayOmitCompletions() {
    return completions.size() >= MAX_COMPLETIONS;
  }

  /**
   * A run in progress.
   *
   * @param task the task
   * @param run the run's number
   * @param checkpoint its newest checkpoint, empty when there is none
   * @param progress its progress, in percent; 100 for a long-running task means that it is at work
   * @param load tail of response times in milliseconds for a serving task, otherwise processor use
   */
  public record Running(TaskName task, int run, String checkpoint, int progress, double load) {}

  /**
   * A run that ended.
   *
   * @param number rises by one with each completion on this incarnation of the worker
   * @param task the task
   * @param run the run's number
   * @param status how it ended
   * @param checkpoint its last checkpoint, empty when there is none
   */
  public record Completion(
      long number, TaskName task, int run, CompletionStatus status, String checkpoint) {}

  /** How a run ended. */
  public enum CompletionStatus {
    /** Its work is done. */
    DONE,
    /** It failed, through a fault of its own or of the worker. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not arrive in time. */
    ALONE
  }
}
