package org.cottontack.core.load;

/** A part of load control that a deployment may have in force. */
public enum LoadPart {
  /** Limits the jobs in progress and rejects jobs that could only be complete too late. */
  ADMISSION,
  /** Rates workers by the outcome and the speed of their runs. */
  WORKER_SCORES;

  /** How a deployment's settings choose whether a part is in force. */
  public enum Mode {
    /**
     * In force where a stop takes longer than the period of workers' reports. Where stops are
     * faster, work that was placed wrongly can be moved in time instead.
     */
    AUTO {
      @Override
      boolean inForce(long stopMillis) {
        return stopMillis >= REPORT_PERIOD_MILLIS;
      }
    },
    /** In force. */
    ENABLED {
      @Override
      boolean inForce(long stopMillis) {
        return true;
      }
    },
    /** Not in force. */
    DISABLED {
      @Override
      boolean inForce(long stopMillis) {
        return false;
      }
    };

    /** Period that a load reported by a worker covers, in milliseconds. */
    private static final long REPORT_PERIOD_MILLIS = 500;

    abstract boolean inForce(long stopMillis);
  }
}
