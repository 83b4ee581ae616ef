package org.cottontack.core.fleet;

import java.util.Set;
import java.util.function.Predicate;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.EndpointId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An endpoint as its owner sees it.
 *
 * @param id the endpoint
 * @param address {@code host:port}
 * @param slots requests it can run at once
 * @param leaving whether it is to receive no new work
 * @param held whether this process owns it and has read what it runs
 * @param busy attempts that may be running there, with the monotonic time each was last known to be
 * @param meanMillis moving mean of its answer times
 * @param failures failures in a row
 * @param ejectedUntil monotonic time until which it receives nothing because it failed
 */
public record EndpointView(
    EndpointId id,
    String address,
    int slots,
    boolean leaving,
    boolean held,
    PMap<AttemptId, Long> busy,
    double meanMillis,
    int failures,
    long ejectedUntil) {

  private static final double INITIAL_MEAN_MILLIS = 5;
  private static final double MEAN_GAIN = 0.1;
  private static final int FAILURES_TO_EJECT = 3;
  private static final long FIRST_EJECTION_MILLIS = 1_000;
  private static final long MAX_EJECTION_MILLIS = 30_000;
  private static final int MAX_DOUBLINGS = 5;

  /** Returns the view of an endpoint that was just listed. */
  static EndpointView listed(MemberInfo info) {
    return new EndpointView(
        new EndpointId(info.name()),
        info.address(),
        info.slots(),
        info.leaving(),
        false,
        HashTreePMap.empty(),
        INITIAL_MEAN_MILLIS,
        0,
        0);
  }

  /** Returns slots that can be given work at this time. */
  public int free(long now) {
    return held && !leaving && now >= ejectedUntil ? Math.max(0, slots - busy.size()) : 0;
  }

  /** Returns the expected time of one more request here, for comparing endpoints. */
  public double cost() {
    return meanMillis * (busy.size() + 1) / Math.max(1, slots);
  }

  /** Returns this view with one more attempt running. */
  public EndpointView started(AttemptId attempt, long now) {
    return withBusy(busy.plus(attempt, now));
  }

  /** Returns this view after a whole answer. */
  public EndpointView answered(AttemptId attempt, long millis, boolean succeeded) {
    double mean = meanMillis + MEAN_GAIN * (millis - meanMillis);
    EndpointView freed = withBusy(busy.minus(attempt)).withMean(mean);
    return succeeded ? freed.withHealth(0, 0) : freed;
  }

  /** Returns this view after an attempt of which nothing was sent. */
  public EndpointView neverSent(AttemptId attempt) {
    return withBusy(busy.minus(attempt));
  }

  /**
   * Returns this view after an attempt without an answer. It may still run, so its slot stays taken
   * until a report that was asked for later does not list it.
   */
  public EndpointView lost(AttemptId attempt, long now) {
    return withBusy(busy.plus(attempt, now));
  }

  /** Returns this view with one more failure in a row counted. */
  public EndpointView failed(long now) {
    int count = failures + 1;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, count - FAILURES_TO_EJECT));
    long pause = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << doublings);
    return withHealth(count, count >= FAILURES_TO_EJECT ? now + pause : ejectedUntil);
  }

  /**
   * Returns this view after the endpoint told what it was running.
   *
   * @param running the attempts it listed
   * @param lastSent attempts last known before this time cannot be on the wire any more
   * @param awaitsAnswer whether an answer for an attempt is still to come, so that it keeps its
   *     slot
   * @param now monotonic time of the report
   */
  EndpointView reported(
      Set<AttemptId> running, long lastSent, Predicate<AttemptId> awaitsAnswer, long now) {
    PMap<AttemptId, Long> next = busy;
    for (var entry : busy.entrySet()) {
      boolean finished =
          entry.getValue() < lastSent
              && !running.contains(entry.getKey())
              && !awaitsAnswer.test(entry.getKey());
      next = finished ? next.minus(entry.getKey()) : next;
    }
    for (AttemptId attempt : running) {
      next = next.containsKey(attempt) ? next : next.plus(attempt, now);
    }
    return withBusy(next);
  }

  EndpointView relisted(MemberInfo info) {
    return new EndpointView(
        id,
        info.address(),
        info.slots(),
        info.leaving(),
        held,
        busy,
        meanMillis,
        failures,
        ejectedUntil);
  }

  EndpointView withHeld(boolean value) {
    return new EndpointView(
        id, address, slots, leaving, value, busy, meanMillis, failures, ejectedUntil);
  }

  EndpointView withLeaving() {
    return new EndpointView(
        id, address, slots, true, held, busy, meanMillis, failures, ejectedUntil);
  }

  private EndpointView withBusy(PMap<AttemptId, Long> value) {
    return new EndpointView(
        id, address, slots, leaving, held, value, meanMillis, failures, ejectedUntil);
  }

  private EndpointView withMean(double value) {
    return new EndpointView(id, address, slots, leaving, held, busy, value, failures, ejectedUntil);
  }

  private EndpointView withHealth(int count, long until) {
    return new EndpointView(id, address, slots, leaving, held, busy, meanMillis, count, until);
  }
}
