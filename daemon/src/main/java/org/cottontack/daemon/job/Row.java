package org.cottontack.daemon.job;

import java.nio.charset.StandardCharsets;
import org.cottontack.core.peer.Payload;

/**
 * A row of the platform's store.
 *
 * @param at where it lies
 * @param value its content; empty when it was removed
 * @param version changes with each write; 0 stands for a row that does not exist
 * @param removed whether this is the news of its removal
 */
public record Row(RowKey at, Payload value, long version, boolean removed) {

  /** Returns the row's key. */
  public String key() {
    return at.key();
  }

  /** Returns the content as text. */
  public String text() {
    return new String(value.bytes(), StandardCharsets.UTF_8);
  }
}
