package org.cottontack.core.fleet;

/** The kinds of instances that run work. */
public enum MemberKind {
  /** Runs tasks. */
  WORKER,
  /** Runs requests. */
  ENDPOINT
}
