package org.cottontack.core.fleet;

import java.util.Set;
import java.util.function.Predicate;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.EndpointId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of an endpoint in this process.
 *
 * @param id the endpoint
 * @param address {@code host:port}
 * @param slots number of requests that it can run concurrently
 * @param leaving whether it must receive no new work
 * @param held whether this process owns it and has read which attempts it runs
 * @param busy attempts that may be running there, each with the monotonic time at which it was last
 *     known to run
 * @param meanMillis exponential moving average of its response times
 * @param failures number of consecutive failures
 * @param ejectedUntil monotonic time until which it receives no requests, because of failures
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

  /** Returns the initial state of an endpoint that appeared in the platform's list. */
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

  /** Returns the number of slots that can receive work at the given time. */
  public int free(long now) {
    return held && !leaving && now >= ejectedUntil ? Math.max(0, slots - busy.size()) : 0;
  }

  /** Returns the expected time of one more request here, used to compare endpoints. */
  public double cost() {
    return meanMillis * (busy.size() + 1) / Math.max(1, slots);
  }

  /** Returns this state with one more attempt running. */
  public EndpointView started(AttemptId attempt, long now) {
    return withBusy(busy.plus(attempt, now));
  }

  /** Returns this state after a complete response. */
  public EndpointView answered(AttemptId attempt, long millis, boolean succeeded) {
    double mean = meanMillis + MEAN_GAIN * (millis - meanMillis);
    EndpointView freed = withBusy(busy.minus(attempt)).withMean(mean);
    return succeeded ? freed.withHealth(0, 0) : freed;
  }

  /** Returns this state without an attempt of which nothing was sent. */
  public EndpointView neverSent(AttemptId attempt) {
    return withBusy(busy.minus(attempt));
  }

  /**
   * Returns this state after an attempt without a response. The attempt may still be running, so
   * its slot stays occupied until a report requested later does not list it.
   */
  public EndpointView lost(AttemptId attempt, long now) {
    return withBusy(busy.plus(attempt, now));
  }

  /**
   * Returns this state with one more consecutive failure. From the third on, the endpoint is
   * ejected, for a time that doubles with each failure up to the maximum.
   */
  public EndpointView failed(long now) {
    int count = failures + 1;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, count - FAILURES_TO_EJECT));
    long pause = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << doublings);
    return withHealth(count, count >= FAILURES_TO_EJECT ? now + pause : ejectedUntil);
  }

  /**
   * Returns this state after the endpoint reported which attempts it runs.
   *
   * @param running the attempts it listed
   * @param lastSent attempts last known to run before this time can no longer be in transit
   * @param awaitsAnswer whether this process still expects an answer for an attempt, which then
   *     keeps its slot
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

  /** Returns this state updated from the platform's list. */
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
