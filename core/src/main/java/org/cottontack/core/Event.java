package org.cottontack.core;

/** Something that happened: an input of the reducer. Implementations are immutable. */
public interface Event {}
