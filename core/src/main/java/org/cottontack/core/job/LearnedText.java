package org.cottontack.core.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;

/**
 * The stored form of what a leader has learned: one line for each queue, each pair of images and
 * each worker that may hide ends. A new leader that starts without it tries harmful pairs all over
 * again. Names are escaped, since callers choose those of images.
 */
final class LearnedText {

  /** Size up to which it is written, in bytes: half of the smallest row the store takes. */
  static final int MOST_BYTES = 32_000;

  /** Weights of headroom; lines that begin with "pair" hold others, which mean nothing here. */
  private static final String PAIR = "headroom";

  private static final int PAIR_FIELDS = 5;
  private static final String QUEUE = "queue";
  private static final int QUEUE_FIELDS = 8;

  /** A life that may never list some of its ends. */
  private static final String HIDES = "hides";

  private static final int HIDES_FIELDS = 3;

  private final Interference interference;
  private final Estimates estimates;

  LearnedText(Interference interference, Estimates estimates) {
    this.interference = interference;
    this.estimates = estimates;
  }

  /**
   * Returns the text; pairs that were not heard of for longest are left out where it grows large.
   */
  String write(Set<WorkerLife> hiding) {
    List<String> pairs = interference.pairs().map(LearnedText::line).toList();
    Stream<String> learned =
        Stream.concat(estimates.queues().map(LearnedText::line), reversed(pairs).stream());
    Stream<String> lines = Stream.concat(hiding.stream().map(LearnedText::line), learned);
    int[] bytes = {0};
    return lines
        .takeWhile(line -> (bytes[0] += line.length() + 1) <= MOST_BYTES)
        .collect(Collectors.joining("\n"));
  }

  private static Deque<String> reversed(List<String> lines) {
    Deque<String> reversed = new ArrayDeque<>();
    lines.forEach(reversed::addFirst);
    return reversed;
  }

  private static String line(WorkerLife hides) {
    return String.join(" ", HIDES, escape(hides.worker().value()), "" + hides.bornMillis());
  }

  private static String line(Interference.Pair pair) {
    return String.format(
        Locale.ROOT,
        "%s %s %s %.2f %.2f",
        PAIR,
        escape(pair.serving()),
        escape(pair.filling()),
        pair.weight(),
        pair.variance());
  }

  private static String line(Estimates.Queue queue) {
    return String.format(
        Locale.ROOT,
        "%s %s %.3f %.3f %.3f %.3f %.3f %.0f",
        QUEUE,
        escape(queue.name()),
        queue.runs(),
        queue.declared(),
        queue.measured(),
        queue.declaredSquare(),
        queue.product(),
        queue.meanWork());
  }

  /**
   * Reads a text back. Lines of another version of this program are skipped: it leads in turn with
   * this one during a rolling replacement, and a leader that fails at the start of each term would
   * let all jobs stand still.
   *
   * @param hiding takes the lives that may never list some ends
   * @return how many lines were skipped
   */
  long restore(String text, Set<WorkerLife> hiding) {
    List<String> lines = text.lines().toList();
    return lines.size() - lines.stream().filter(line -> read(line, hiding)).count();
  }

  private boolean read(String line, Set<WorkerLife> hiding) {
    String[] fields = line.split(" ", -1);
    try {
      if (fields[0].equals(HIDES) && fields.length == HIDES_FIELDS) {
        return hiding.add(
            new WorkerLife(new WorkerId(unescape(fields[1])), Long.parseLong(fields[2])));
      }
      if (fields[0].equals(PAIR) && fields.length == PAIR_FIELDS) {
        interference.restore(
            new Interference.Pair(
                unescape(fields[1]), unescape(fields[2]), number(fields[3]), number(fields[4])));
        return true;
      }
      if (fields[0].equals(QUEUE) && fields.length == QUEUE_FIELDS) {
        estimates.restore(
            new Estimates.Queue(
                unescape(fields[1]),
                number(fields[2]),
                number(fields[3]),
                number(fields[4]),
                number(fields[5]),
                number(fields[6]),
                number(fields[7])));
        return true;
      }
      return false;
    } catch (IllegalArgumentException e) {
      // The caller logs how many lines could not be read.
      return false;
    }
  }

  private static double number(String text) {
    double number = Double.parseDouble(text);
    if (!Double.isFinite(number)) {
      throw new IllegalArgumentException("not a number: " + text);
    }
    return number;
  }

  private static String escape(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  private static String unescape(String name) {
    return URLDecoder.decode(name, StandardCharsets.UTF_8);
  }
}
