package org.cottontack.core.peer;

import org.cottontack.core.Effect;

/** Effects that send messages to other entry instances. */
public interface PeerEffect extends Effect {

  /**
   * Sends a message.
   *
   * @param address the receiver, {@code host:port}
   * @param message the message
   */
  record Send(String address, PeerMessage message) implements PeerEffect {}
}
