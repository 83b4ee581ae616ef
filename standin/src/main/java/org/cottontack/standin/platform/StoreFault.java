package org.cottontack.standin.platform;

import java.util.Locale;
import java.util.stream.Stream;
import org.cottontack.adapters.http.HttpCall;

/** How the stand-in of the table service misbehaves towards one data centre. */
public enum StoreFault {
  /** It answers. */
  NONE(true) {
    @Override
    void answer(HttpCall call, Runnable answer) {
      answer.run();
    }
  },
  /** It does nothing and closes the connection. */
  DOWN(false) {
    @Override
    void answer(HttpCall call, Runnable answer) {
      call.drop();
    }
  },
  /** It does what it is asked and closes the connection without an answer. */
  LOSES_ANSWERS(true) {
    @Override
    void answer(HttpCall call, Runnable answer) {
      call.drop();
    }
  },
  /** It does nothing and never answers. */
  SILENT(false) {
    @Override
    void answer(HttpCall call, Runnable answer) {
      // the caller waits until its own time limit
    }
  };

  private final boolean acts;

  StoreFault(boolean acts) {
    this.acts = acts;
  }

  /** Returns whether requests take effect. */
  boolean acts() {
    return acts;
  }

  /** Answers a call, or does not. */
  abstract void answer(HttpCall call, Runnable answer);

  /** Returns the fault for a word. */
  public static StoreFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
