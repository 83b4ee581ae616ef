package org.cottontack.core.store;

/** The content of a row in the platform's table service. Implementations are immutable records. */
public interface StoredValue {}
