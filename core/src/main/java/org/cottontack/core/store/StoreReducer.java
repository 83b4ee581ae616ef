package org.cottontack.core.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Batches writes into transactions, of which at most one is in flight, and determines a definite
 * outcome for each write.
 *
 * <p>A transaction whose response was lost is sent again unchanged. All its writes are conditional
 * on row versions, so at most one of the attempts takes effect. A conflict with a row that carries
 * one of the transaction's own write identifiers shows that an earlier attempt took effect.
 */
public final class StoreReducer {

  /** Maximum number of writes in one transaction. */
  static final int MAX_BATCH = 64;

  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 2_000;
  private static final int MAX_DOUBLINGS = 5;

  private StoreReducer() {}

  /** Returns the handlers of this part. */
  public static Handlers handlers() {
    return new Handlers()
        .on(StoreEvent.Submit.class, StoreReducer::submit)
        .on(StoreEvent.Flush.class, StoreReducer::flush)
        .on(StoreEvent.Committed.class, StoreReducer::committed)
        .on(StoreEvent.Conflicted.class, StoreReducer::conflicted)
        .on(StoreEvent.Unanswered.class, StoreReducer::unanswered);
  }

  private static Step submit(State state, StoreEvent.Submit event) {
    String writeId = state.settings().self() + "#" + state.store().nextWrite();
    Write write = new Write(writeId, event.mutations(), event.purpose());
    return schedule(state.with(state.store().enqueue(write)));
  }

  /** Schedules a flush, unless nothing waits, one is pending or a transaction is in flight. */
  private static Step schedule(State state) {
    StoreState store = state.store();
    boolean idle = store.urgent().isEmpty() && store.ordinary().isEmpty();
    if (idle || store.flushPending() || !store.sent().isEmpty()) {
      return Step.of(state);
    }
    long wait = Math.max(0, store.notBefore() - state.mono());
    State next = state.with(store.flushing(true));
    return Step.of(next, new Effect.After(wait, new StoreEvent.Flush(0)));
  }

  private static Step flush(State state, StoreEvent.Flush event) {
    StoreState store = state.store();
    if (event.batch() != 0) {
      return event.batch() == store.batch() && !store.sent().isEmpty()
          ? Step.of(state, new StoreEffect.Commit(store.batch(), store.sent()))
          : Step.of(state);
    }
    if (!store.sent().isEmpty()) {
      return Step.of(state.with(store.flushing(false)));
    }
    return sendNext(state);
  }

  private static Step sendNext(State state) {
    StoreState store = state.store();
    List<Write> chosen = new ArrayList<>();
    Set<StoreKey> rows = new HashSet<>();
    PVector<Write> urgentLeft = choose(store.urgent(), chosen, rows);
    PVector<Write> ordinaryLeft = choose(store.ordinary(), chosen, rows);
    if (chosen.isEmpty()) {
      return Step.of(state.with(store.flushing(false)));
    }
    StoreState next = store.sending(List.copyOf(chosen), urgentLeft, ordinaryLeft);
    return Step.of(state.with(next), new StoreEffect.Commit(next.batch(), next.sent()));
  }

  /**
   * Moves the writes that fit into the transaction to {@code chosen} and returns the others. A
   * write that shares a row with an earlier one waits, so that writes of one row keep their order.
   */
  private static PVector<Write> choose(
      PVector<Write> waiting, List<Write> chosen, Set<StoreKey> rows) {
    List<Write> remaining = new ArrayList<>();
    for (Write write : waiting) {
      boolean fits = chosen.size() < MAX_BATCH && write.keys().noneMatch(rows::contains);
      write.keys().forEach(rows::add);
      (fits ? chosen : remaining).add(write);
    }
    return TreePVector.from(remaining);
  }

  private static Step committed(State state, StoreEvent.Committed event) {
    return event.batch() == state.store().batch() ? resolveAsApplied(state) : Step.of(state);
  }

  private static Step resolveAsApplied(State state) {
    List<Write> sent = state.store().sent();
    return Step.fold(
            answered(state),
            sent,
            (s, write) ->
                Step.of(
                    s, new Effect.Raise(new StoreEvent.Settled(write.purpose(), true, List.of()))))
        .then(StoreReducer::schedule);
  }

  private static State answered(State state) {
    return state.with(state.store().answered(state.mono() + state.settings().batchGap()));
  }

  private static Step conflicted(State state, StoreEvent.Conflicted event) {
    StoreState store = state.store();
    if (event.batch() != store.batch() || store.sent().isEmpty()) {
      return Step.of(state);
    }
    // If the response to an earlier attempt was lost after that attempt took effect, this one
    // conflicts with it. The transaction is atomic, so one row with one of its write identifiers
    // proves that all its writes took effect.
    boolean alreadyApplied =
        store.sent().stream()
            .anyMatch(
                write ->
                    event.current().stream().anyMatch(r -> r.writeId().equals(write.writeId())));
    return alreadyApplied ? resolveAsApplied(state) : resolveConflicts(state, event.current());
  }

  /** Reports the writes that met a conflict as not applied and queues the others again, first. */
  private static Step resolveConflicts(State state, List<StoreRow> current) {
    List<Write> toResend = new ArrayList<>();
    List<Effect> effects = new ArrayList<>();
    for (Write write : state.store().sent()) {
      List<StoreRow> conflicts =
          current.stream().filter(row -> write.keys().anyMatch(row.key()::equals)).toList();
      if (conflicts.isEmpty()) {
        toResend.add(write);
      } else {
        effects.add(new Effect.Raise(new StoreEvent.Settled(write.purpose(), false, conflicts)));
      }
    }
    State next = answered(state);
    next = next.with(next.store().requeueFirst(toResend));
    return new Step(next, effects).then(StoreReducer::schedule);
  }

  private static Step unanswered(State state, StoreEvent.Unanswered event) {
    StoreState store = state.store();
    if (event.batch() != store.batch() || store.sent().isEmpty()) {
      return Step.of(state);
    }
    int doublings = Math.min(store.failures(), MAX_DOUBLINGS);
    long wait = Math.min(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS << doublings);
    return Step.of(
        state.with(store.unanswered()),
        new Effect.After(wait, new StoreEvent.Flush(event.batch())));
  }
}
