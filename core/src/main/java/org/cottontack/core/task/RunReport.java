package org.cottontack.core.task;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What a worker says of one attempt.
 *
 * @param run the attempt
 * @param status how it is doing
 * @param usage what it uses, lagging
 * @param checkpoint its newest complete checkpoint, or null
 * @param outcome its result or the reason of its failure, or null
 */
public record RunReport(Run run, Status status, Demand usage, String checkpoint, String outcome) {

  /** How an attempt is doing. */
  public enum Status {
    /** It runs. */
    RUNNING,
    /** It ran to its end. */
    FINISHED,
    /** It failed. */
    FAILED,
    /** It was stopped by an order or because its lease lapsed. */
    STOPPED;

    /** Returns the word of the workers' interface. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the status for a word. */
    public static Optional<Status> forWord(String word) {
      return Stream.of(values()).filter(status -> status.word().equals(word)).findFirst();
    }
  }
}
