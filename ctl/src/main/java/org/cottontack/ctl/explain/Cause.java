package org.cottontack.ctl.explain;

/** What a job's time went to. */
enum Cause {
  /** Its own work, as long as such work usually takes. */
  WORK(true, "its own work"),
  /** Its own work: tasks of a step differ, and the largest of many takes longer than most. */
  UNEVEN(true, "uneven work"),
  /** From its first submission until it was stored: a store that did not answer, or tries again. */
  INTAKE(false, "store did not take it in"),
  /** No instance led, so nothing was decided. */
  NO_LEADER(false, "no leader"),
  /** Tasks were ready and no worker had a place for them. */
  ROOM(false, "waited for a place"),
  /** Tasks were ready and waited for a place while an operator emptied a data centre. */
  EVACUATED(false, "data centre evacuated"),
  /** A run was slowed beside tasks that serve. */
  PACED(false, "slowed by pace"),
  /** A run took far longer than such runs usually take, and was not slowed by us. */
  SLOW(false, "slow run"),
  /** A run failed and was tried again. */
  FAILED(false, "run failed"),
  /** We stopped a run to start it elsewhere. */
  MOVED(false, "stopped and moved"),
  /** A worker was lost, or out of reach until its leases had ended. */
  LOST_WORKER(false, "worker lost"),
  /** Between the last run's end as its worker listed it and the job's end in the store. */
  NOTICE(false, "end noticed late");

  private final boolean inherent;
  private final String words;

  Cause(boolean inherent, String words) {
    this.inherent = inherent;
    this.words = words;
  }

  /** Returns whether the time would have been needed in any case. */
  boolean inherent() {
    return inherent;
  }

  String words() {
    return words;
  }
}
