package org.cottontack.ctl.explain;

/** What is known of one run of a task; filled in while lines are read. */
final class RunHistory {

  /** How a run came to its end. */
  enum End {
    OPEN(Cause.LOST_WORKER),
    DONE(Cause.WORK),
    FAILED(Cause.FAILED),
    STOPPED(Cause.MOVED),
    GONE(Cause.LOST_WORKER);

    private final Cause cause;

    End(Cause cause) {
      this.cause = cause;
    }

    /** Returns what a run's time went to that ended so. */
    Cause cause() {
      return cause;
    }

    static End of(String word) {
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
  End end = End.OPEN;
  long slowedMillis;
  long expectedMillis;

  RunHistory(int number, String worker, long placedMillis) {
    this.number = number;
    this.worker = worker;
    this.placedMillis = placedMillis;
  }

  void ended(End how, long millis) {
    end = how;
    endMillis = Math.max(millis, placedMillis);
  }
}
