package org.cottontack.core.peer;

import org.cottontack.core.Event;
import org.cottontack.core.id.InstanceId;

/** What came from other entry instances. */
public interface PeerEvent extends Event {

  /**
   * A message arrived.
   *
   * @param from the incarnation that sent it
   * @param address where it can be reached
   * @param message the message
   */
  record Received(InstanceId from, String address, PeerMessage message) implements PeerEvent {}

  /**
   * A message could not be delivered: no byte of it left this process.
   *
   * @param address where it was to go
   * @param message the message
   */
  record Undelivered(String address, PeerMessage message) implements PeerEvent {}

  /**
   * The connection to an instance was lost; messages handed over before may or may not have
   * arrived.
   *
   * @param address the instance
   */
  record Lost(String address) implements PeerEvent {}
}
