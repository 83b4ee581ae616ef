package org.cottontack.core.id;

/** Argument checks shared by the identifier types. */
final class Ids {

  private Ids() {}

  static void requireText(String value, String type) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(type + " must not be blank");
    }
  }
}
