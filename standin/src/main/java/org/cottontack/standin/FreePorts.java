package org.cottontack.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Finds ports for processes that are about to start and listen on them. */
public final class FreePorts {

  /** The system gives higher ports to connections by itself, at any moment. */
  private static final int LEAST = 12_000;

  private static final int COUNT = 20_000;

  // Each port is given once in a long while: one that is free now may be given to a process already
  // that does not listen yet, and whichever comes second would end.
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

  private FreePorts() {}

  /**
   * Returns a port on which nobody listens, and which is not given again for a long while.
   *
   * @throws IllegalStateException when none is found
   */
  public static int next() {
    return IntStream.range(0, COUNT)
        .map(i -> LEAST + NEXT.getAndIncrement() % COUNT)
        .filter(FreePorts::free)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no free port"));
  }

  private static boolean free(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // Somebody listens there; the next port is tried.
      return false;
    }
  }
}
