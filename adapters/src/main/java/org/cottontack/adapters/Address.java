package org.cottontack.adapters;

import java.net.InetSocketAddress;

/**
 * An IP address and a port.
 *
 * @param host the IP address
 * @param port the port; 0 means any free port when listening
 */
public record Address(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Parses {@code host:port}.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED} for any other text
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= MAX_PORT) {
        return new Address(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Falls through to the message that is used for every malformed address.
    }
    throw new AdapterException(
        AdapterException.Code.MALFORMED,
        "'" + text + "' is not an address; write host:port, such as 127.0.0.1:7001",
        null);
  }

  /** Returns this address as a socket address. */
  public InetSocketAddress socket() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
