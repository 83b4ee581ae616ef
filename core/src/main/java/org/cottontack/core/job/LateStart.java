package org.cottontack.core.job;

/**
 * A start without an answer, which whatever life of its worker there is may carry out later. The
 * load: orders go unanswered for seconds while workers crash and start again under their
 * identifiers. Until it expires its task runs nowhere else: only lives of that worker which refuse
 * it, or list what it began, are left.
 *
 * @param refusing the first life of its worker that refuses it, once it has answered this leader;
 *     later ones do so as well
 * @param bindsMillis until when its task is kept from other workers whatever is known, on our
 *     steady clock
 * @param expiresMillis when it can no longer be carried out, on our steady clock
 */
record LateStart(WorkerIncarnation refusing, long bindsMillis, long expiresMillis) {

  /**
   * Longest time until a worker carries out an order that it left unanswered, in milliseconds; the
   * platform states it.
   */
  static final long LATEST_MILLIS = 12_000;

  /**
   * Longest time until a life that can be reached has answered a question and lists what a start
   * began, in milliseconds: one question without an answer, and the pause before the next.
   */
  private static final long HEARD_MILLIS = 1_500;

  /** Returns a start that this leader has sent; the life that it was for may still take it. */
  static LateStart sent(WorkerIncarnation to, StepSpec spec, long sentMillis) {
    // A lasting task is back when leases of that time have ended, as after any loss of its worker.
    long binds = spec.is(StepSpec.Trait.LASTS) ? LeaderLease.GRANT_MILLIS : LATEST_MILLIS;
    WorkerIncarnation next = new WorkerIncarnation(to.worker(), to.startTimeMillis() + 1);
    return new LateStart(next, sentMillis + binds, sentMillis + LATEST_MILLIS);
  }

  /**
   * Returns a start that an earlier leader may have sent, whose fencing token is out of date.
   *
   * @param startMillis when this leader's term began
   * @param lapseMillis when the leases that earlier leaders gave have ended
   */
  static LateStart inherited(
      WorkerIncarnation to, StepSpec spec, long startMillis, long lapseMillis) {
    long expires = startMillis + LATEST_MILLIS;
    return new LateStart(to, spec.is(StepSpec.Trait.LASTS) ? lapseMillis : expires, expires);
  }

  /** Returns what bars as much as both; a task is bound to one worker, so both name the same. */
  LateStart and(LateStart other) {
    boolean later = refusing.startTimeMillis() >= other.refusing.startTimeMillis();
    return new LateStart(
        later ? refusing : other.refusing,
        Math.max(bindsMillis, other.bindsMillis),
        Math.max(expiresMillis, other.expiresMillis));
  }

  /**
   * Returns until when its task is kept from other workers. A lasting task waits until the start
   * has expired only where orders are known to be late; otherwise its absence would count before.
   *
   * @param ignored the starts that are known to be ignored
   */
  long boundUntilMillis(IgnoredStarts ignored) {
    boolean lasts = bindsMillis < expiresMillis;
    long heardMillis = expiresMillis + HEARD_MILLIS;
    return lasts && ignored.excuses(heardMillis) ? heardMillis : bindsMillis;
  }

  boolean expired(long nowMillis) {
    return nowMillis >= expiresMillis;
  }

  /** Returns whether a life that has answered this leader refuses it. */
  boolean refusedBy(WorkerIncarnation life) {
    return life.worker().equals(refusing.worker())
        && life.startTimeMillis() >= refusing.startTimeMillis();
  }

  /** Returns the same start where a life refuses it already. */
  LateStart refusedFrom(WorkerIncarnation life) {
    return new LateStart(life, bindsMillis, expiresMillis);
  }
}
