package org.cottontack.core.request;

/** The phase of a request in this process. */
public enum Phase {
  /** Its claim is being written. */
  CLAIMING,
  /** Waits for a slot. */
  QUEUED,
  /** Was sent to an endpoint. */
  AT_ENDPOINT,
  /** Was sent to another entry instance. */
  AT_PEER
}
