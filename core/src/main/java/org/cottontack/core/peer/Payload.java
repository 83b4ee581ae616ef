package org.cottontack.core.peer;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The body of a request or response, as opaque bytes. */
public final class Payload {

  /** An empty payload. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns a payload with a copy of the bytes. */
  public static Payload of(byte[] bytes) {
    return new Payload(bytes.clone());
  }

  /** Returns a payload with the text in UTF-8. */
  public static Payload of(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the bytes. */
  public byte[] bytes() {
    return bytes.clone();
  }

  /** Returns the number of bytes. */
  public int size() {
    return bytes.length;
  }

  /** Returns the bytes decoded as UTF-8. */
  public String text() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
