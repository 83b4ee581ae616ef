package org.cottontack.daemon.job;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.job.WorkerReport;

/**
 * Sends orders to workers. Each order carries a fencing token with the epoch of the leader; a
 * worker refuses orders with a lower epoch than it has seen. Each consumer receives exactly one
 * result, on the event loop.
 */
public interface WorkerClient {

  /** Starts a run; {@code allowed} is checked again right before the order is sent. */
  void start(
      JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done);

  /** Stops a run; the consumer receives whether the worker confirmed it. */
  void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done);

  /** Polls a worker and renews the lease of its runs. */
  void poll(
      JobEffect.LookAtWorker poll, long epoch, BooleanSupplier allowed, Consumer<PollResult> done);

  /**
   * Abandons the polls in flight, so that no worker reports to a leader whose term ends. They are
   * reported as silent.
   */
  void abandonPolls();

  /** Sets the pace of a run; the consumer receives whether the worker confirmed it. */
  void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done);

  /**
   * The result of a poll.
   *
   * @param outcome how the poll ended
   * @param report the report of the worker; empty unless it answered
   */
  record PollResult(Outcome outcome, WorkerReport report) {

    private static final WorkerReport NOTHING =
        new WorkerReport(
            WorkerIncarnation.UNKNOWN_START_TIME, 0, java.util.List.of(), java.util.List.of());

    /** Outcomes of a poll. */
    public enum Outcome {
      /** The worker answered. */
      ANSWERED,
      /** The worker did not answer. */
      SILENT,
      /** Another incarnation of the worker answered. */
      REBORN,
      /** The worker has seen a newer leader. */
      FENCED
    }

    /** Returns a result without a report. */
    public static PollResult of(Outcome outcome) {
      return new PollResult(outcome, NOTHING);
    }
  }
}
