package org.cottontack.core.load;

import java.util.stream.Stream;

/**
 * State of a part of load control that the next leader restores. It is stored as lines of words
 * separated by spaces; the first word of each line names its kind. Another version of this program
 * skips lines of kinds that it does not know.
 */
public interface StoredLines {

  /** Returns whether a kind of line belongs to this part. */
  boolean owns(String kind);

  /** Returns the lines, the most important first, because the last may be cut. */
  Stream<String> lines();

  /**
   * Restores a line that another leader wrote.
   *
   * @param words the words of the line, the kind first
   * @return whether the line could be read
   * @throws IllegalArgumentException if a word is not of the expected form
   */
  boolean restore(String[] words);
}
