package org.cottontack.ctl.explain;

/** The history of one run of a task, updated while log lines are read. */
final class RunHistory {

  /** The status of a run. */
  enum Status {
    OPEN(Cause.LOST_WORKER),
    DONE(Cause.WORK),
    FAILED(Cause.FAILED),
    STOPPED(Cause.MOVED),
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
