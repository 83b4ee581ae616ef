package org.cottontack.daemon.job;

import java.nio.charset.StandardCharsets;
import org.cottontack.core.peer.Payload;

/**
 * A row of the platform's store.
 *
 * @param at the row's key
 * @param value the content; empty when the row was removed
 * @param version changes with each write; 0 stands for a row that does not exist
 * @param removed whether this entry reports the removal of the row
 */
public record Row(RowKey at, Payload value, long version, boolean removed) {

  /** Returns the key within the row's partition. */
  public String key() {
    return at.key();
  }

  /** Returns the content as text. */
  public String text() {
    return new String(value.bytes(), StandardCharsets.UTF_8);
  }
}
