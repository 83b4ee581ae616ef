package org.cottontack.core.job;

/**
 * A start without an answer, which whatever life of its worker there is may carry out later. The
 * load: orders go unanswered for seconds while workers crash and start again under their
 * identifiers. Until it expires its task runs nowhere else: only lives of that worker which refuse
 * it, or list what it began, are left.
 *
 * @param refusing the first life of its worker that refuses it, once it has answered this leader;
 *     later ones do so as well
 * @param expiresMillis when it can no longer be carried out, on our steady clock
 */
record LateStart(WorkerLife refusing, long expiresMillis) {

  /**
   * Longest time until a worker carries out an order that it left unanswered, in milliseconds; the
   * platform states it.
   */
  static final long LATEST_MILLIS = 12_000;

  /** Returns a start that this leader has sent; the life that it was for may still take it. */
  static LateStart sent(WorkerLife to, StepSpec spec, long sentMillis) {
    // A lasting task is back when leases of that time have ended, as after any loss of its worker.
    long kept = spec.is(StepSpec.Trait.LASTS) ? LeaderLease.GRANT_MILLIS : LATEST_MILLIS;
    return new LateStart(new WorkerLife(to.worker(), to.bornMillis() + 1), sentMillis + kept);
  }

  /**
   * Returns a start that an earlier leader may have sent, whose fencing token is out of date.
   *
   * @param startMillis when this leader's term began
   * @param lapseMillis when the leases that earlier leaders gave have ended
   */
  static LateStart inherited(WorkerLife to, StepSpec spec, long startMillis, long lapseMillis) {
    boolean lasts = spec.is(StepSpec.Trait.LASTS);
    return new LateStart(to, lasts ? lapseMillis : startMillis + LATEST_MILLIS);
  }

  /** Returns what bars as much as both; a task is bound to one worker, so both name the same. */
  LateStart and(LateStart other) {
    boolean later = refusing.bornMillis() >= other.refusing.bornMillis();
    return new LateStart(
        later ? refusing : other.refusing, Math.max(expiresMillis, other.expiresMillis));
  }

  boolean expired(long nowMillis) {
    return nowMillis >= expiresMillis;
  }

  /** Returns whether a life that has answered this leader refuses it. */
  boolean refusedBy(WorkerLife life) {
    return life.worker().equals(refusing.worker()) && life.bornMillis() >= refusing.bornMillis();
  }

  /** Returns the same start where a life refuses it already. */
  LateStart refusedFrom(WorkerLife life) {
    return new LateStart(life, expiresMillis);
  }
}
