package org.cottontack.core.table;

import java.util.List;
import java.util.stream.Stream;
import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;

/**
 * Accepts each edit by one conditional write and adopts the newest version of the table. A process
 * never returns to an older version.
 */
public final class TableReducer {

  /**
   * Interval between two checks for a newer version. Every process is promised to adopt an edit
   * within ten seconds; this interval leaves a margin even if one response is lost.
   */
  private static final long POLL_MILLIS = 2_000;

  private TableReducer() {}

  private record ReadPointer() implements Purpose {}

  private record ReadContent() implements Purpose {}

  private record Compare(Edit edit) implements Purpose {}

  private record Edit(long ticket, TableRecord record) implements Purpose {}

  /** Returns the handlers of this part. */
  public static Handlers handlers() {
    return new Handlers()
        .on(OwnershipEvent.Start.class, (state, event) -> poll(state, new TableEvent.Poll()))
        .on(TableEvent.Poll.class, TableReducer::poll)
        .on(TableEvent.NewerKnown.class, TableReducer::newerKnown)
        .on(TableEvent.EditAsked.class, TableReducer::editAsked)
        .on(StoreEvent.Settled.class, TableReducer::settled)
        .on(StoreEvent.Scanned.class, TableReducer::scanned)
        .on(PeerEvent.Received.class, TableReducer::received);
  }

  private static Step poll(State state, TableEvent.Poll event) {
    return readPointer(state).with(new Effect.After(POLL_MILLIS, event));
  }

  private static Step readPointer(State state) {
    return Step.of(state, new StoreEffect.Scan(StoreKey.table().value(), new ReadPointer()));
  }

  private static Step readContent(State state, long version, Purpose purpose) {
    return Step.of(state, new StoreEffect.Scan(StoreKey.tableHistory(version).value(), purpose));
  }

  private static Step received(State state, PeerEvent.Received event) {
    return event.message() instanceof PeerMessage.Report report
        ? newerKnown(state, new TableEvent.NewerKnown(report.tableVersion()))
        : Step.of(state);
  }

  private static Step newerKnown(State state, TableEvent.NewerKnown event) {
    return event.version() > state.table().version() ? readPointer(state) : Step.of(state);
  }

  private static Step editAsked(State state, TableEvent.EditAsked event) {
    List<TableFault> faults = TableCheck.faults(event.content());
    if (!faults.isEmpty()) {
      List<String> lines = faults.stream().map(TableFault::toString).toList();
      return answer(state, event.ticket(), TableEffect.Verdict.INVALID, lines);
    }
    long version = event.expectedVersion() + 1;
    TableRecord record =
        new TableRecord(version, event.editor(), state.now().wall(), event.content());
    List<Mutation> mutations =
        List.of(
            Mutation.put(
                StoreKey.table(),
                event.expectedVersion(),
                new TablePointer(version, event.editor())),
            Mutation.put(StoreKey.tableHistory(version), 0, record));
    return Step.of(
        state,
        new Effect.Raise(new StoreEvent.Submit(mutations, new Edit(event.ticket(), record))));
  }

  private static Step settled(State state, StoreEvent.Settled event) {
    if (!(event.purpose() instanceof Edit edit)) {
      return Step.of(state);
    }
    if (event.applied()) {
      return adopt(state, edit.record())
          .then(s -> answer(s, edit.ticket(), TableEffect.Verdict.ACCEPTED, List.of()));
    }
    return event.conflicts().stream()
        .map(StoreRow::value)
        .flatMap(TableReducer::pointer)
        .findFirst()
        .map(winner -> readContent(state, winner.version(), new Compare(edit)))
        .orElseGet(() -> stale(state, edit, null));
  }

  /** Rejects an edit and adopts the version that was accepted before it, if there is one. */
  private static Step stale(State state, Edit edit, TableRecord winner) {
    return adopt(state, winner)
        .then(s -> answer(s, edit.ticket(), TableEffect.Verdict.STALE, conflict(edit, winner)));
  }

  private static Stream<TablePointer> pointer(Object value) {
    return value instanceof TablePointer pointer ? Stream.of(pointer) : Stream.empty();
  }

  private static Stream<TableRecord> record(Object value) {
    return value instanceof TableRecord record ? Stream.of(record) : Stream.empty();
  }

  private static List<String> conflict(Edit edit, TableRecord winner) {
    if (winner == null) {
      return List.of("there is no version %d".formatted(edit.record().version() - 1));
    }
    String rows = winner.content().changedRows(edit.record().content()).toString();
    return List.of(
        "version %d by %s came first; rows that differ from yours: %s"
            .formatted(winner.version(), winner.editor(), rows));
  }

  private static Step answer(
      State state, long ticket, TableEffect.Verdict verdict, List<String> messages) {
    return Step.of(
        state, new TableEffect.EditAnswered(ticket, verdict, state.table().version(), messages));
  }

  private static Step scanned(State state, StoreEvent.Scanned event) {
    if (event.purpose() instanceof ReadPointer) {
      return event.rows().stream()
          .map(StoreRow::value)
          .flatMap(TableReducer::pointer)
          .findFirst()
          .map(pointer -> pointerRead(state, pointer))
          .orElseGet(() -> Step.of(state));
    }
    TableRecord seen =
        event.rows().stream()
            .map(StoreRow::value)
            .flatMap(TableReducer::record)
            .findFirst()
            .orElse(null);
    if (event.purpose() instanceof Compare compare) {
      return stale(state, compare.edit(), seen);
    }
    return event.purpose() instanceof ReadContent ? adopt(state, seen) : Step.of(state);
  }

  private static Step pointerRead(State state, TablePointer pointer) {
    long known = state.table().version();
    if (pointer.version() == known) {
      return Step.of(state.with(new TableState(state.table().record(), state.mono())));
    }
    return pointer.version() > known
        ? readContent(state, pointer.version(), new ReadContent())
        : Step.of(state);
  }

  /**
   * Puts a version into force, unless it is older than the current one. A delayed response may
   * carry an older version; it is dropped, so that an accepted edit is never reverted.
   */
  private static Step adopt(State state, TableRecord seen) {
    if (seen == null || seen.version() < state.table().version()) {
      return Step.of(state);
    }
    State next = state.with(new TableState(seen, state.mono()));
    return seen.version() == state.table().version()
        ? Step.of(next)
        : Step.of(
            next,
            new Effect.Note("table.adopted", "" + seen.version(), "edited by " + seen.editor()),
            new Effect.Raise(new TableEvent.Adopted()));
  }
}
