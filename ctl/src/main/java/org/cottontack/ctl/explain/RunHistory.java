package org.cottontack.ctl.explain;

/** The history of one run of a task, updated while log lines are read. */
final class RunHistory {

  /** The status of a run. */
  enum Status {
    /** No log line read so far reports its end. */
    OPEN(Cause.LOST_WORKER),
    /** It ran to completion. */
    DONE(Cause.WORK),
    /** It failed. */
    FAILED(Cause.FAILED),
    /** It was stopped before it was done. */
    STOPPED(Cause.MOVED),
    /** It was lost, with its worker or because the worker no longer listed it. */
    GONE(Cause.LOST_WORKER);

    private final Cause cause;

    Status(Cause cause) {
      this.cause = cause;
    }

    /** Returns what the time of a run with this status was spent on. */
    Cause cause() {
      return cause;
    }

    static Status of(String word) {
      return switch (word) {
        case "DONE" -> DONE;
        case "FAILED" -> FAILED;
        case "STOPPED" -> STOPPED;
        default -> GONE;
      };
    }
  }

  final int number;
  final String worker;
  final long placedMillis;
  long endMillis;
  Status status = Status.OPEN;
  long slowedMillis;
  long expectedMillis;

  RunHistory(int number, String worker, long placedMillis) {
    this.number = number;
    this.worker = worker;
    this.placedMillis = placedMillis;
  }

  void ended(Status finalStatus, long millis) {
    status = finalStatus;
    endMillis = Math.max(millis, placedMillis);
  }
}
