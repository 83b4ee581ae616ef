package org.cottontack.core.job;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The stored form of what a leader has learned: one line for each pair of images and for each
 * queue. A new leader that starts without it tries harmful pairs all over again.
 */
final class LearnedText {

  private static final String PAIR = "pair ";
  private static final String QUEUE = "queue ";

  private final Interference interference;
  private final Estimates estimates;

  LearnedText(Interference interference, Estimates estimates) {
    this.interference = interference;
    this.estimates = estimates;
  }

  String write() {
    return Stream.concat(
            interference.write().map(line -> PAIR + line),
            estimates.write().map(line -> QUEUE + line))
        .collect(Collectors.joining("\n"));
  }

  void restore(String text) {
    interference.restore(lines(text, PAIR));
    estimates.restore(lines(text, QUEUE));
  }

  private static List<String> lines(String text, String kind) {
    return text.lines()
        .filter(line -> line.startsWith(kind))
        .map(line -> line.substring(kind.length()))
        .toList();
  }
}
