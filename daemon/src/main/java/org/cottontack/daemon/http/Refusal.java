package org.cottontack.daemon.http;

/**
 * The body of every answer that is not the work's own.
 *
 * @param code stable code
 * @param ran {@code ran}, {@code not_run} or {@code unknown}
 * @param message one sentence
 * @param retryAfterMillis when to come back, 0 when coming back makes no sense
 */
public record Refusal(String code, String ran, String message, long retryAfterMillis) {}
