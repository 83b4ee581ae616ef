package org.cottontack.core.job;

/**
 * A start without an answer, which whatever life of its worker there is may carry out later. The
 * load: orders go unanswered for seconds while workers crash and start again under their
 * identifiers. Until it expires its task runs nowhere else: only lives of that worker which refuse
 * it, or list what it began, are left.
 *
 * @param firstRefusing the first life of its worker that refuses it, once it has answered this
 *     leader; later ones do so as well
 * @param minPinEndMillis until when its task is kept from other workers whatever is known, on our
 *     steady clock
 * @param expiresMillis when it can no longer be carried out, on our steady clock
 */
record LateStart(WorkerIncarnation firstRefusing, long minPinEndMillis, long expiresMillis) {

  /**
   * Longest time until a worker carries out an order that it left unanswered, in milliseconds; the
   * platform states it.
   */
  static final long LATEST_MILLIS = 12_000;

  /**
   * Longest time until a life that can be reached has answered a question and lists what a start
   * began, in milliseconds: one question without an answer, and the pause before the next.
   */
  private static final long MAX_LISTING_DELAY_MILLIS = 1_500;

  /** Returns a start that this leader has sent; the life that it was for may still take it. */
  static LateStart sent(WorkerIncarnation to, StepSpec spec, long sentMillis) {
    // A lasting task is back when leases of that time have ended, as after any loss of its worker.
    long pinMillis = spec.is(StepSpec.Trait.LASTS) ? LeaderLease.GRANT_MILLIS : LATEST_MILLIS;
    WorkerIncarnation next = new WorkerIncarnation(to.worker(), to.startTimeMillis() + 1);
    return new LateStart(next, sentMillis + pinMillis, sentMillis + LATEST_MILLIS);
  }

  /**
   * Returns a start that an earlier leader may have sent, whose fencing token is out of date.
   *
   * @param startMillis when this leader's term began
   * @param leaseEndMillis when the leases that earlier leaders gave have ended
   */
  static LateStart inherited(
      WorkerIncarnation to, StepSpec spec, long startMillis, long leaseEndMillis) {
    long expires = startMillis + LATEST_MILLIS;
    return new LateStart(to, spec.is(StepSpec.Trait.LASTS) ? leaseEndMillis : expires, expires);
  }

  /** Returns what bars as much as both; a task is bound to one worker, so both name the same. */
  LateStart merge(LateStart other) {
    boolean later = firstRefusing.startTimeMillis() >= other.firstRefusing.startTimeMillis();
    return new LateStart(
        later ? firstRefusing : other.firstRefusing,
        Math.max(minPinEndMillis, other.minPinEndMillis),
        Math.max(expiresMillis, other.expiresMillis));
  }

  /**
   * Returns until when its task is kept from other workers. A lasting task waits until the start
   * has expired only where orders are known to be late; otherwise its absence would count before.
   *
   * @param ignored the starts that are known to be ignored
   */
  long pinEndMillis(IgnoredStarts ignored) {
    boolean longRunning = minPinEndMillis < expiresMillis;
    long listedMillis = expiresMillis + MAX_LISTING_DELAY_MILLIS;
    return longRunning && ignored.toleratesAbsence(listedMillis) ? listedMillis : minPinEndMillis;
  }

  boolean expired(long nowMillis) {
    return nowMillis >= expiresMillis;
  }

  /** Returns whether a life that has answered this leader refuses it. */
  boolean refusedBy(WorkerIncarnation incarnation) {
    return incarnation.worker().equals(firstRefusing.worker())
        && incarnation.startTimeMillis() >= firstRefusing.startTimeMillis();
  }

  /** Returns the same start where a life refuses it already. */
  LateStart refusedFrom(WorkerIncarnation incarnation) {
    return new LateStart(incarnation, minPinEndMillis, expiresMillis);
  }
}
