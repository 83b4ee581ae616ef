package org.cottontack.standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cottontack.adapters.Address;

/** Sends malformed requests that an HTTP client would not send. */
final class RawSocket {

  private static final int TIMEOUT_MILLIS = 5_000;

  private RawSocket() {}

  /** Sends text and waits until the server answers or closes the connection. */
  static void send(Address address, String text) {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
      socket.getInputStream().read();
    } catch (IOException e) {
      throw new IllegalStateException("the server neither answered nor closed the connection", e);
    }
  }
}
