package org.cottontack.core.task;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A worker's report on one attempt.
 *
 * @param run the attempt
 * @param status its status
 * @param usage resources that it uses; the measurement lags behind
 * @param checkpoint its newest complete checkpoint, or null
 * @param outcome its result or the reason of its failure, or null
 */
public record RunReport(Run run, Status status, Demand usage, String checkpoint, String outcome) {

  /** The status of an attempt on its worker. */
  public enum Status {
    /** It runs. */
    RUNNING,
    /** It ran to completion. */
    FINISHED,
    /** It failed. */
    FAILED,
    /** It was stopped by an order or because its lease expired. */
    STOPPED;

    /** Returns the name of this status in the workers' interface. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the status with a name of the workers' interface. */
    public static Optional<Status> forWord(String word) {
      return Stream.of(values()).filter(status -> status.word().equals(word)).findFirst();
    }
  }
}
