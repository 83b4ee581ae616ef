package org.cottontack.core.task;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.ownership.OwnershipPhase;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.cottontack.core.table.RowKind;
import org.cottontack.core.table.RowSpec;

/** Handles submissions, queries and cancellations of tasks by callers. */
final class Tickets {

  private Tickets() {}

  /** The purpose of a write or read whose result answers a ticket. */
  private interface TicketPurpose extends Purpose {
    long ticket();
  }

  private record Submission(long ticket, TaskRecord record) implements TicketPurpose {}

  private record Cancellation(long ticket, TaskRecord next) implements TicketPurpose {}

  private record Query(long ticket, TaskId task, boolean cancels, boolean ended)
      implements TicketPurpose {}

  static Step submit(State state, TaskEvent.SubmitAsked event) {
    if (state.table().version() == 0 || state.ownership().phase() == OwnershipPhase.LEAVING) {
      return answer(state, event.ticket(), TaskEffect.Verdict.NOT_READY, null);
    }
    Optional<RowSpec> row = state.table().row(event.row()).filter(r -> r.kind() == RowKind.BATCH);
    return row.map(spec -> create(state, event, spec))
        .orElseGet(() -> answer(state, event.ticket(), TaskEffect.Verdict.UNKNOWN_ROW, null));
  }

  private static Step create(State state, TaskEvent.SubmitAsked event, RowSpec row) {
    TaskRecord record =
        new TaskRecord(
            event.id(),
            row.name(),
            row.team(),
            event.input(),
            event.demand() == null ? row.demand() : event.demand(),
            row.idempotent(),
            row.urgent(),
            state.now().wall(),
            state.now().wall() + row.deadlineMillis(),
            TaskPhase.QUEUED,
            0,
            null,
            0,
            null,
            false,
            List.of(),
            null);
    DataCentreId dataCentre = state.settings().dataCentre();
    // The check guards against a copy of this write that is delayed until the task has ended and
    // its live row is gone: that copy would create the task a second time.
    List<Mutation> mutations =
        List.of(
            Mutation.put(StoreKey.task(dataCentre, event.id()), 0, record),
            Mutation.check(StoreKey.endedTask(dataCentre, event.id()), 0));
    return Step.of(
        state,
        new Effect.Raise(new StoreEvent.Submit(mutations, new Submission(event.ticket(), record))));
  }

  static Step status(State state, TaskEvent.StatusAsked event) {
    return query(state, new Query(event.ticket(), event.id(), false, false));
  }

  static Step cancel(State state, TaskEvent.CancelAsked event) {
    return query(state, new Query(event.ticket(), event.id(), true, false));
  }

  private static Step query(State state, Query query) {
    return Step.of(state, new StoreEffect.Scan(key(state, query).value(), query));
  }

  private static StoreKey key(State state, Query query) {
    DataCentreId dataCentre = state.settings().dataCentre();
    return query.ended()
        ? StoreKey.endedTask(dataCentre, query.task())
        : StoreKey.task(dataCentre, query.task());
  }

  static Step scanned(State state, StoreEvent.Scanned event) {
    if (!(event.purpose() instanceof Query query)) {
      return Step.of(state);
    }
    StoreKey key = key(state, query);
    return event.rows().stream()
        .filter(row -> row.key().equals(key))
        .findFirst()
        .map(row -> found(state, query, row))
        .orElseGet(() -> notFound(state, query));
  }

  private static Step notFound(State state, Query query) {
    return query.ended()
        ? answer(state, query.ticket(), TaskEffect.Verdict.NO_SUCH_TASK, null)
        : query(state, new Query(query.ticket(), query.task(), query.cancels(), true));
  }

  private static Step found(State state, Query query, StoreRow row) {
    TaskRecord record = (TaskRecord) row.value();
    if (!query.cancels() || record.phase().ended() || record.cancelAsked()) {
      return answer(state, query.ticket(), TaskEffect.Verdict.DONE, record);
    }
    TaskRecord next =
        record.phase() == TaskPhase.QUEUED
            ? record.ended(TaskPhase.CANCELLED, "cancelled before it ran")
            : record.withCancelAsked();
    TaskView view = TaskView.loaded(record, row.version(), 0);
    List<Mutation> mutations = Transition.mutations(state.settings().dataCentre(), view, next);
    return Step.of(
        state,
        new Effect.Raise(new StoreEvent.Submit(mutations, new Cancellation(query.ticket(), next))));
  }

  static Step settled(State state, StoreEvent.Settled event) {
    if (event.purpose() instanceof Submission submission) {
      return event.applied()
          ? submitted(state, submission)
          : idTaken(state, submission, event.conflicts());
    }
    if (event.purpose() instanceof Cancellation cancellation) {
      return event.applied()
          ? cancelled(state, cancellation)
          : query(state, new Query(cancellation.ticket(), cancellation.next().id(), true, false));
    }
    return Step.of(state);
  }

  private static Step submitted(State state, Submission submission) {
    TaskRecord record = submission.record();
    return answer(state, submission.ticket(), TaskEffect.Verdict.DONE, record)
        .with(new Effect.Note("task.submitted", record.id().value(), "row " + record.row()))
        .then(s -> Loading.notifyBucketOwner(s, record.id()));
  }

  /**
   * Answers a submission whose identifier is taken. A repeated submission, for example after a lost
   * answer, gets the same answer as the first one; any other is refused.
   */
  private static Step idTaken(State state, Submission submission, List<StoreRow> conflicts) {
    Optional<TaskRecord> found =
        conflicts.stream()
            .map(StoreRow::value)
            .filter(TaskRecord.class::isInstance)
            .map(TaskRecord.class::cast)
            .findFirst();
    boolean same = found.filter(r -> sameSubmission(r, submission.record())).isPresent();
    TaskEffect.Verdict verdict = same ? TaskEffect.Verdict.DONE : TaskEffect.Verdict.ID_TAKEN;
    return answer(state, submission.ticket(), verdict, found.orElse(null));
  }

  private static boolean sameSubmission(TaskRecord a, TaskRecord b) {
    return a.row().equals(b.row()) && a.input().equals(b.input()) && a.demand().equals(b.demand());
  }

  private static Step cancelled(State state, Cancellation cancellation) {
    TaskRecord record = cancellation.next();
    return answer(state, cancellation.ticket(), TaskEffect.Verdict.DONE, record)
        .with(new Effect.Note("task.cancel_asked", record.id().value(), record.phase().word()))
        .then(s -> Loading.read(s, record.id()))
        .then(s -> Loading.notifyOthers(s, record.id()));
  }

  static Step scanFailed(State state, StoreEvent.ScanFailed event) {
    return event.purpose() instanceof Query query
        ? answer(state, query.ticket(), TaskEffect.Verdict.STORE_AWAY, null)
        : Step.of(state);
  }

  /**
   * Answers a caller that no longer waits. A write that was never sent is withdrawn first, because
   * the answer says that nothing was written.
   */
  static Step expired(State state, TaskEvent.TicketExpired event) {
    Predicate<Purpose> ofTicket =
        purpose -> purpose instanceof TicketPurpose ticketed && ticketed.ticket() == event.ticket();
    return state.store().hasWaiting(ofTicket)
        ? answer(
            state.with(state.store().withdraw(ofTicket)),
            event.ticket(),
            TaskEffect.Verdict.STORE_AWAY,
            null)
        : answer(state, event.ticket(), TaskEffect.Verdict.IN_DOUBT, null);
  }

  private static Step answer(
      State state, long ticket, TaskEffect.Verdict verdict, TaskRecord record) {
    return Step.of(state, new TaskEffect.Answered(ticket, verdict, record));
  }
}
