package org.cottontack.core.job;

/**
 * A start without an answer, which any incarnation of its worker may still carry out. This happens
 * when orders go unanswered for seconds while workers crash and start again under their
 * identifiers. Until the start expires its task is pinned: it may run only on incarnations of that
 * worker which refuse the start, or which list the run that it began.
 *
 * @param firstRefusing the first incarnation of its worker that refuses it, once that has answered
 *     this leader; later ones refuse it as well
 * @param minPinEndMillis until when its task is pinned in any case, on our steady clock
 * @param expiresMillis when it can no longer be carried out, on our steady clock
 */
record LateStart(WorkerIncarnation firstRefusing, long minPinEndMillis, long expiresMillis) {

  /**
   * Longest time until a worker carries out an order that it left unanswered, in milliseconds. The
   * platform specifies it.
   */
  static final long LATEST_MILLIS = 12_000;

  /**
   * Longest time until a reachable incarnation has answered a poll and lists what a start began, in
   * milliseconds: one poll without an answer, and the pause before the next one.
   */
  private static final long MAX_LISTING_DELAY_MILLIS = 1_500;

  /**
   * Returns a start that this leader has sent. The incarnation to which it was sent may still
   * accept it.
   */
  static LateStart sent(WorkerIncarnation to, StepSpec spec, long sentMillis) {
    // A long-running task is started again when leases of that length have ended, as after any loss
    // of its worker.
    long pinMillis = spec.is(StepSpec.Trait.LASTS) ? LeaderLease.GRANT_MILLIS : LATEST_MILLIS;
    WorkerIncarnation next = new WorkerIncarnation(to.worker(), to.startTimeMillis() + 1);
    return new LateStart(next, sentMillis + pinMillis, sentMillis + LATEST_MILLIS);
  }

  /** Returns the same start, sent by some milliseconds later. */
  LateStart delayed(long millis) {
    return new LateStart(firstRefusing, minPinEndMillis + millis, expiresMillis + millis);
  }

  /**
   * Returns a start that an earlier leader may have sent. Its fencing token is out of date.
   *
   * @param startMillis when this leader's term began
   * @param leaseEndMillis when the leases that earlier leaders gave have ended
   */
  static LateStart inherited(
      WorkerIncarnation to, StepSpec spec, long startMillis, long leaseEndMillis) {
    long expires = startMillis + LATEST_MILLIS;
    return new LateStart(to, spec.is(StepSpec.Trait.LASTS) ? leaseEndMillis : expires, expires);
  }

  /** Returns the same start, which restricts placement no longer than a stored expiry. */
  LateStart within(StartExpiry stored) {
    return new LateStart(
        firstRefusing,
        Math.min(minPinEndMillis, stored.minPinEndMillis()),
        Math.min(expiresMillis, stored.expiresMillis()));
  }

  /**
   * Returns a start that restricts placement as much as both. A task is pinned to one worker, so
   * both starts are for the same one.
   */
  LateStart merge(LateStart other) {
    boolean later = firstRefusing.startTimeMillis() >= other.firstRefusing.startTimeMillis();
    return new LateStart(
        later ? firstRefusing : other.firstRefusing,
        Math.max(minPinEndMillis, other.minPinEndMillis),
        Math.max(expiresMillis, other.expiresMillis));
  }

  /**
   * Returns until when its task is pinned. A long-running task waits until the start has expired
   * only if orders are known to be late; otherwise its absence would count before that.
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

  /** Returns whether an incarnation that has answered this leader refuses the start. */
  boolean refusedBy(WorkerIncarnation incarnation) {
    return incarnation.worker().equals(firstRefusing.worker())
        && incarnation.startTimeMillis() >= firstRefusing.startTimeMillis();
  }

  /** Returns the same start with an incarnation that is known to refuse it. */
  LateStart refusedFrom(WorkerIncarnation incarnation) {
    return new LateStart(incarnation, minPinEndMillis, expiresMillis);
  }
}
