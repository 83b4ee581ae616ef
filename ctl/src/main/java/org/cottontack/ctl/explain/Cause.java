package org.cottontack.ctl.explain;

/** What the time of a job was spent on. */
enum Cause {
  /** Time that the work of the job was expected to take. */
  WORK(true, "its own work"),
  /**
   * Work of the job beyond the expected time: tasks of a step differ, and the largest of many takes
   * longer than most.
   */
  UNEVEN(true, "uneven work"),
  /**
   * Time from the first submission until the job was stored: the store did not answer, or the
   * submission was retried.
   */
  INTAKE(false, "store did not take it in"),
  /** Admission control rejected submissions of the job, which was stored later. */
  REFUSED(false, "refused for overload"),
  /** No instance was the leader, so nothing was scheduled. */
  NO_LEADER(false, "no leader"),
  /** Tasks were ready and no worker had capacity for them. */
  ROOM(false, "waited for a place"),
  /** Tasks were ready and waited for capacity while an operator evacuated a data centre. */
  EVACUATED(false, "data centre evacuated"),
  /** A run was paced because of serving tasks on the same worker. */
  PACED(false, "slowed by pace"),
  /** A run took much longer than expected for reasons other than pacing. */
  SLOW(false, "slow run"),
  /** A run failed and was retried. */
  FAILED(false, "run failed"),
  /** The leader stopped a run to start it on another worker. */
  MOVED(false, "stopped and moved"),
  /** A worker was lost, or unreachable until its leases had expired. */
  LOST_WORKER(false, "worker lost"),
  /**
   * Time from the completion of the last run, as its worker listed it, to the end of the job in the
   * store.
   */
  NOTICE(false, "end noticed late");

  private final boolean inherent;
  private final String label;

  Cause(boolean inherent, String label) {
    this.inherent = inherent;
    this.label = label;
  }

  /** Returns whether the time is needed for the work itself, even without delays. */
  boolean inherent() {
    return inherent;
  }

  String label() {
    return label;
  }
}
