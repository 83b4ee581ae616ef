package org.cottontack.standin;

import java.io.IOException;
import java.net.ServerSocket;

/** Finds ports for processes that are about to start and listen on them. */
public final class FreePorts {

  private FreePorts() {}

  /**
   * Returns a port on which nobody listens.
   *
   * @throws IllegalStateException when none is found
   */
  public static int next() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port", e);
    }
  }
}
