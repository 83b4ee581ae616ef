package org.cottontack.core.store;

/**
 * The reason for a read or write, returned with its result so that the requesting part recognizes
 * it. Implementations are records.
 */
public interface Purpose {

  /** Returns whether the write is sent before ordinary writes; lease renewals are, for example. */
  default boolean urgent() {
    return false;
  }
}
