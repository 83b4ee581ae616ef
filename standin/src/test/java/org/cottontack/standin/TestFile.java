package org.cottontack.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads test data from the class path. */
final class TestFile {

  private TestFile() {}

  static String read(String name) {
    try (InputStream in = TestFile.class.getResourceAsStream(name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException("cannot read " + name, e);
    }
  }
}
