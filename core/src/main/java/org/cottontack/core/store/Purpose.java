package org.cottontack.core.store;

/** Why something is written or read: comes back with the result. Implementations are records. */
public interface Purpose {

  /** Returns whether this goes before ordinary writes, as lease renewals do. */
  default boolean urgent() {
    return false;
  }
}
