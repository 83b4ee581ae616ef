package org.cottontack.adapters.http;

import java.util.Map;
import org.cottontack.core.peer.Payload;

/**
 * What became of a request made by {@link HttpClient}.
 *
 * @param outcome how it ended
 * @param status the HTTP status when answered, otherwise 0
 * @param headers headers in lower case when answered
 * @param body the whole body when answered
 */
public record HttpResult(Outcome outcome, int status, Map<String, String> headers, Payload body) {

  /** How a request ended. */
  public enum Outcome {
    /** A whole answer came. */
    ANSWERED,
    /** No byte of the request left this process. */
    NOT_SENT,
    /** Some of the request may have left, and no whole answer came. */
    LOST
  }

  static HttpResult notSent() {
    return new HttpResult(Outcome.NOT_SENT, 0, Map.of(), Payload.EMPTY);
  }

  static HttpResult lost() {
    return new HttpResult(Outcome.LOST, 0, Map.of(), Payload.EMPTY);
  }

  /** Returns whether a whole answer with this status came. */
  public boolean is(int wanted) {
    return outcome == Outcome.ANSWERED && status == wanted;
  }

  /** Returns the body read as UTF-8. */
  public String text() {
    return body.text();
  }
}
