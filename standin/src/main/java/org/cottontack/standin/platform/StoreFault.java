package org.cottontack.standin.platform;

import java.util.Locale;
import java.util.stream.Stream;
import org.cottontack.adapters.http.HttpCall;

/** Faults of the table service that the platform stand-in can simulate for one data centre. */
public enum StoreFault {
  /** No fault: requests take effect and are answered. */
  NONE(true) {
    @Override
    void respond(HttpCall call, Runnable response) {
      response.run();
    }
  },
  /** Requests take no effect, and the connection is closed. */
  DOWN(false) {
    @Override
    void respond(HttpCall call, Runnable response) {
      call.drop();
    }
  },
  /** Requests take effect, but the connection is closed without an answer. */
  LOSES_ANSWERS(true) {
    @Override
    void respond(HttpCall call, Runnable response) {
      call.drop();
    }
  },
  /** Requests take no effect, and the connection stays open without an answer. */
  SILENT(false) {
    @Override
    void respond(HttpCall call, Runnable response) {
      // The caller waits until its own timeout.
    }
  };

  private final boolean appliesRequests;

  StoreFault(boolean appliesRequests) {
    this.appliesRequests = appliesRequests;
  }

  /** Returns whether requests take effect despite the fault. */
  boolean appliesRequests() {
    return appliesRequests;
  }

  /** Sends the response to a call, or simulates the fault in its place. */
  abstract void respond(HttpCall call, Runnable response);

  /** Returns the fault with the given name in lower case. */
  public static StoreFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
