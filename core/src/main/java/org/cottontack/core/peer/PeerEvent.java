package org.cottontack.core.peer;

import org.cottontack.core.Event;
import org.cottontack.core.id.InstanceId;

/** Events of the connections to other entry instances. */
public interface PeerEvent extends Event {

  /**
   * A message arrived.
   *
   * @param from the sending incarnation
   * @param address address of the sender, {@code host:port}
   * @param message the message
   */
  record Received(InstanceId from, String address, PeerMessage message) implements PeerEvent {}

  /**
   * A message could not be delivered: no byte of it left this process.
   *
   * @param address the intended receiver, {@code host:port}
   * @param message the message
   */
  record Undelivered(String address, PeerMessage message) implements PeerEvent {}

  /**
   * The connection to an instance was lost. Messages sent before may or may not have arrived.
   *
   * @param address address of the instance, {@code host:port}
   */
  record Lost(String address) implements PeerEvent {}
}
