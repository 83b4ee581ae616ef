package org.cottontack.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Allocates loopback ports for processes that are about to start and listen on them. */
public final class FreePorts {

  /**
   * First port of the range. The range ends below the ephemeral ports, which the system may assign
   * to outgoing connections at any time.
   */
  private static final int LOWEST_PORT = 12_000;

  private static final int PORT_COUNT = 20_000;

  // Each port is returned once per pass over the range. A port that is free now may already have
  // been allocated to a process that does not listen yet, and the second process to bind it would
  // exit.
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns a port on which no process listens. It is not returned again until all other ports of
   * the range have been tried.
   *
   * @throws IllegalStateException if no port of the range is free
   */
  public static int next() {
    return IntStream.range(0, PORT_COUNT)
        .map(i -> LOWEST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT)
        .filter(FreePorts::isFree)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no free port"));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // The port is in use; the caller tries the next one.
      return false;
    }
  }
}
