package org.cottontack.daemon.job;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.job.WorkerReport;

/**
 * Orders to workers. Each order carries a fencing token of the leader's epoch; a worker does
 * nothing for a lower one than it has seen. Each consumer gets exactly one answer, on the event
 * loop.
 */
public interface WorkerClient {

  /** Starts a run; {@code allowed} is asked again right before the order leaves. */
  void start(
      JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done);

  /** Stops a run; the consumer gets whether the worker answered that it did. */
  void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done);

  /** Looks at a worker and renews the lease of what runs there. */
  void poll(
      JobEffect.LookAtWorker poll, long epoch, BooleanSupplier allowed, Consumer<PollResult> done);

  /** Sets the pace of a run; the consumer gets whether the worker answered that it did. */
  void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done);

  /**
   * The answer to a look.
   *
   * @param outcome how it went
   * @param report what the worker says, empty unless it answered
   */
  record PollResult(Outcome outcome, WorkerReport report) {

    private static final WorkerReport NOTHING =
        new WorkerReport(
            WorkerIncarnation.UNKNOWN_START_TIME, 0, java.util.List.of(), java.util.List.of());

    /** How a look goes. */
    public enum Outcome {
      /** The worker answered. */
      ANSWERED,
      /** No answer. */
      SILENT,
      /** Another life of the worker answered. */
      REBORN,
      /** The worker has seen a newer leader. */
      FENCED
    }

    /** Returns a look without a report. */
    public static PollResult of(Outcome outcome) {
      return new PollResult(outcome, NOTHING);
    }
  }
}
