package org.cottontack.core.store;

/** The content of a row. Implementations are immutable records. */
public interface StoredValue {}
