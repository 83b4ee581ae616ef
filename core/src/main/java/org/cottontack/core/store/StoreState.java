package org.cottontack.core.store;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The waiting writes and the one transaction in flight.
 *
 * @param urgent waiting writes that are sent first
 * @param ordinary other waiting writes, oldest first
 * @param sent the writes of the transaction in flight, empty if there is none
 * @param batch number of the last transaction
 * @param nextWrite number of the next write
 * @param failures number of consecutive attempts without a response
 * @param notBefore monotonic time before which no transaction is sent
 * @param flushPending whether a flush is already scheduled
 */
public record StoreState(
    PVector<Write> urgent,
    PVector<Write> ordinary,
    List<Write> sent,
    long batch,
    long nextWrite,
    int failures,
    long notBefore,
    boolean flushPending) {

  /** No writes waiting or in flight. */
  public static final StoreState EMPTY =
      new StoreState(TreePVector.empty(), TreePVector.empty(), List.of(), 0, 1, 0, 0, false);

  /** Returns whether the last attempt to commit got no response. */
  public boolean unavailable() {
    return failures > 0;
  }

  /** Returns whether no write is waiting or in flight. */
  public boolean idle() {
    return urgent.isEmpty() && ordinary.isEmpty() && sent.isEmpty();
  }

  /** Returns whether a write with a matching purpose is waiting and in no transaction in flight. */
  public boolean hasWaiting(Predicate<Purpose> filter) {
    return Stream.concat(urgent.stream(), ordinary.stream()).map(Write::purpose).anyMatch(filter);
  }

  /** Returns whether a write with a matching purpose is in flight. */
  public boolean hasInFlight(Predicate<Purpose> filter) {
    return sent.stream().map(Write::purpose).anyMatch(filter);
  }

  /** Returns this state without the waiting writes that have a matching purpose. */
  public StoreState withdraw(Predicate<Purpose> filter) {
    Predicate<Write> matches = write -> filter.test(write.purpose());
    return new StoreState(
        without(urgent, matches),
        without(ordinary, matches),
        sent,
        batch,
        nextWrite,
        failures,
        notBefore,
        flushPending);
  }

  StoreState enqueue(Write write) {
    boolean isUrgent = write.purpose().urgent();
    return new StoreState(
        isUrgent ? urgent.plus(write) : urgent,
        isUrgent ? ordinary : ordinary.plus(write),
        sent,
        batch,
        nextWrite + 1,
        failures,
        notBefore,
        flushPending);
  }

  StoreState sending(List<Write> writes, PVector<Write> urgentLeft, PVector<Write> ordinaryLeft) {
    return new StoreState(
        urgentLeft, ordinaryLeft, writes, batch + 1, nextWrite, failures, notBefore, false);
  }

  StoreState flushing(boolean pending) {
    return new StoreState(urgent, ordinary, sent, batch, nextWrite, failures, notBefore, pending);
  }

  StoreState answered(long nextAllowed) {
    return new StoreState(
        urgent, ordinary, List.of(), batch, nextWrite, 0, nextAllowed, flushPending);
  }

  StoreState unanswered() {
    return new StoreState(
        urgent, ordinary, sent, batch, nextWrite, failures + 1, notBefore, flushPending);
  }

  StoreState requeueFirst(List<Write> writes) {
    return new StoreState(
        TreePVector.from(writes).plusAll(urgent),
        ordinary,
        sent,
        batch,
        nextWrite,
        failures,
        notBefore,
        flushPending);
  }

  private static PVector<Write> without(PVector<Write> writes, Predicate<Write> filter) {
    return writes.minusAll(writes.stream().filter(filter).toList());
  }
}
