package org.cottontack.core.request;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** The stable codes of answers, each with its HTTP status and whether the request ran. */
public enum Code {
  /** The endpoint's whole answer. */
  OK(200, Ran.RAN, "the request ran"),
  /** The request ran before; its answer was too large to keep. */
  ANSWER_NOT_KEPT(410, Ran.RAN, "the request ran before, but its answer was too large to keep"),
  /** The request is malformed. */
  BAD_REQUEST(400, Ran.NOT_RUN, "the request is not understood"),
  /** The row is not in the table or is not a service row. */
  UNKNOWN_ROW(404, Ran.NOT_RUN, "the table has no such service row"),
  /** The row needs an idempotency key. */
  KEY_REQUIRED(400, Ran.NOT_RUN, "this row is not idempotent: send an Idempotency-Key"),
  /** The key was used with another body. */
  KEY_REUSED(422, Ran.NOT_RUN, "this Idempotency-Key was used with another body"),
  /** The deadline had passed on arrival. */
  DEADLINE_PASSED(400, Ran.NOT_RUN, "the deadline had passed on arrival"),
  /** A limit of the row or the team is reached. */
  OVER_LIMIT(429, Ran.NOT_RUN, "the row or its team is at its limit"),
  /** The expected wait is longer than the time left until the deadline. */
  OVERLOADED(503, Ran.NOT_RUN, "no slot will be free before the deadline"),
  /** No endpoint can be used by this instance. */
  NO_ENDPOINT(503, Ran.NOT_RUN, "no endpoint can be used from here now"),
  /** The request needs the platform's store, which does not answer. */
  STORE_AWAY(503, Ran.NOT_RUN, "the store that records such requests does not answer"),
  /** This process has no table yet. */
  NO_TABLE(503, Ran.NOT_RUN, "this instance has no table yet"),
  /** This process is stopping. */
  LEAVING(503, Ran.NOT_RUN, "this instance is stopping"),
  /** The deadline came before a slot was free. */
  DEADLINE_IN_QUEUE(504, Ran.NOT_RUN, "the deadline came before a slot was free"),
  /** A request with this key was accepted before, and this instance does not know its outcome. */
  IN_DOUBT(409, Ran.UNKNOWN, "a request with this key may be running or may have run"),
  /** The deadline came while the endpoint had the request. */
  DEADLINE_AT_ENDPOINT(504, Ran.UNKNOWN, "the deadline came while the endpoint had the request"),
  /** The connection broke after the request was sent. */
  ENDPOINT_LOST(502, Ran.UNKNOWN, "the endpoint was lost after the request was sent");

  private final int status;
  private final Ran ran;
  private final String message;

  Code(int status, Ran ran, String message) {
    this.status = status;
    this.ran = ran;
    this.message = message;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns whether the request ran. */
  public Ran ran() {
    return ran;
  }

  /** Returns a message for people. */
  public String message() {
    return message;
  }

  /** Returns the name of this code for callers. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the code with a name that callers use. */
  public static Optional<Code> forWord(String word) {
    return Stream.of(values()).filter(code -> code.word().equals(word)).findFirst();
  }
}
