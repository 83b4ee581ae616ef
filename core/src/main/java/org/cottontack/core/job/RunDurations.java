package org.cottontack.core.job;

import java.util.List;
import org.cottontack.core.admission.DurationTails;
import org.cottontack.core.load.StoredLines;

/**
 * Learns the durations of runs: their mean by {@link DurationEstimates} and, while a part of load
 * control is in force, their distribution by {@link DurationTails}.
 */
final class RunDurations {

  private final DurationEstimates estimates;
  private final DurationTails tails;
  private final boolean recordsTails;

  RunDurations(Term term, DurationEstimates estimates, DurationTails tails) {
    this.estimates = estimates;
    this.tails = tails;
    this.recordsTails = !term.loadControl.parts().isEmpty();
  }

  /** Returns the expected duration of a run of a task, in milliseconds. */
  long expectedMillis(Task task) {
    return estimates.millis(task.job.spec.queue(), task.spec);
  }

  /** Records the duration of a run that was neither slowed nor resumed. */
  void learn(Task task, long millis) {
    if (recordsTails) {
      // The distribution is of errors of the expectation, so the run must not be part of it.
      tails.record(task.job.spec.queue().name(), expectedMillis(task), millis);
    }
    estimates.learn(task.job.spec.queue(), task.spec, millis);
  }

  /** Returns the parts of the state that are stored beside the estimates. */
  List<StoredLines> storedLines() {
    return recordsTails ? List.of(tails) : List.of();
  }
}
