package org.cottontack.core.job;

/**
 * Until when the starts of a task that may be in flight restrict it. Times are on one clock, in
 * milliseconds.
 *
 * @param minPinEndMillis until when the task is pinned to the worker of these starts in any case
 * @param expiresMillis when none of them can be carried out any more
 */
public record StartExpiry(long minPinEndMillis, long expiresMillis) {}
