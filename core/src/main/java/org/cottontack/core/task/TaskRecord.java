package org.cottontack.core.task;

import java.util.List;
import java.util.stream.Stream;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.store.StoredValue;

/**
 * The record of a task in the platform's table service.
 *
 * @param id the task
 * @param row its row of the table
 * @param team the team whose quota it counts against
 * @param input its input, passed to the worker unchanged
 * @param demand declared demand
 * @param repeatable whether it may run again where it is unknown whether it ran to completion
 * @param urgent whether it is placed before other tasks
 * @param submittedAt wall-clock milliseconds
 * @param deadline wall-clock milliseconds by which it should end
 * @param phase its phase
 * @param attempt number that grows with each placement: the fencing token of orders to workers
 * @param worker where the attempt was placed, or null
 * @param leaseMillis how long the worker runs the attempt without a renewal
 * @param checkpoint where the next attempt resumes, or null
 * @param cancelAsked whether it was cancelled and must not run again
 * @param failedOn workers on which it failed
 * @param outcome its result or the reason why it ended, or null
 */
public record TaskRecord(
    TaskId id,
    RowName row,
    TeamId team,
    String input,
    Demand demand,
    boolean repeatable,
    boolean urgent,
    long submittedAt,
    long deadline,
    TaskPhase phase,
    int attempt,
    WorkerId worker,
    long leaseMillis,
    String checkpoint,
    boolean cancelAsked,
    List<WorkerId> failedOn,
    String outcome)
    implements StoredValue {

  /** Copies the list, so that the record is immutable. */
  public TaskRecord {
    failedOn = List.copyOf(failedOn);
  }

  /** Returns the run this record allows. */
  public Run run() {
    return new Run(id, attempt);
  }

  /** Returns whether the current attempt of the task is placed on a worker. */
  public boolean placedOn(WorkerId candidate) {
    return phase == TaskPhase.PLACED && candidate.equals(worker);
  }

  /** Returns the record of the next attempt on a worker. */
  public TaskRecord placed(WorkerId target, long lease) {
    return copy(
        TaskPhase.PLACED, attempt + 1, target, lease, checkpoint, cancelAsked, failedOn, null);
  }

  /** Returns the record of a task that is queued again and will resume from a checkpoint. */
  public TaskRecord requeued(String resumeFrom) {
    return copy(TaskPhase.QUEUED, attempt, null, 0, resumeFrom, cancelAsked, failedOn, null);
  }

  /** Returns the record of a task that is queued again after it failed on its worker. */
  public TaskRecord requeuedAfterFailure() {
    List<WorkerId> workers =
        Stream.concat(failedOn.stream(), Stream.of(worker)).distinct().toList();
    return copy(TaskPhase.QUEUED, attempt, null, 0, checkpoint, cancelAsked, workers, null);
  }

  /** Returns the record of a task that has ended. */
  public TaskRecord ended(TaskPhase last, String text) {
    return copy(last, attempt, worker, leaseMillis, checkpoint, cancelAsked, failedOn, text);
  }

  /** Returns the record of a task that is to be stopped and must not run again. */
  public TaskRecord withCancelAsked() {
    return copy(phase, attempt, worker, leaseMillis, checkpoint, true, failedOn, outcome);
  }

  private TaskRecord copy(
      TaskPhase newPhase,
      int newAttempt,
      WorkerId newWorker,
      long newLease,
      String newCheckpoint,
      boolean newCancelAsked,
      List<WorkerId> newFailedOn,
      String newOutcome) {
    return new TaskRecord(
        id,
        row,
        team,
        input,
        demand,
        repeatable,
        urgent,
        submittedAt,
        deadline,
        newPhase,
        newAttempt,
        newWorker,
        newLease,
        newCheckpoint,
        newCancelAsked,
        newFailedOn,
        newOutcome);
  }
}
