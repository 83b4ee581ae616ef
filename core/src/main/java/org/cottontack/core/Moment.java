package org.cottontack.core;

/**
 * The time at which an event is reduced.
 *
 * @param mono milliseconds of a clock that never goes back; the only clock leases use
 * @param wall milliseconds since 1970, used for deadlines of batch work only
 */
public record Moment(long mono, long wall) {}
