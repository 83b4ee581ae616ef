package org.cottontack.adapters.http;

import java.util.Map;
import org.cottontack.core.peer.Payload;

/**
 * The result of a request sent by {@link HttpClient}.
 *
 * @param outcome how the request ended
 * @param status the HTTP status if the request was answered, otherwise 0
 * @param headers the headers, with names in lower case, if the request was answered
 * @param body the complete body if the request was answered
 */
public record HttpResult(Outcome outcome, int status, Map<String, String> headers, Payload body) {

  /** How a request ended. */
  public enum Outcome {
    /** A complete response was received. */
    ANSWERED,
    /** No byte of the request was sent. */
    NOT_SENT,
    /** Part of the request may have been sent, and no complete response was received. */
    LOST,
    /** The response is larger than the client admits, and was not read. */
    TOO_LARGE
  }

  static HttpResult notSent() {
    return new HttpResult(Outcome.NOT_SENT, 0, Map.of(), Payload.EMPTY);
  }

  static HttpResult lost() {
    return new HttpResult(Outcome.LOST, 0, Map.of(), Payload.EMPTY);
  }

  static HttpResult tooLarge() {
    return new HttpResult(Outcome.TOO_LARGE, 0, Map.of(), Payload.EMPTY);
  }

  /** Returns whether a complete response with this status was received. */
  public boolean is(int wanted) {
    return outcome == Outcome.ANSWERED && status == wanted;
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return body.text();
  }
}
