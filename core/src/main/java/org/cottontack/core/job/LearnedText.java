package org.cottontack.core.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.StoredLines;

/**
 * The stored form of what a leader has learned: one line for each queue, each pair of images and
 * each incarnation of a worker that may have suppressed completions, was sent acknowledgements of
 * completions or has deferred acknowledgements. A new leader that starts without it would try
 * harmful pairs all over again. Names are escaped, because callers choose those of images.
 */
final class LearnedText {

  /**
   * Lines of weights of headroom. Lines that begin with "pair" hold other weights, which have no
   * meaning here.
   */
  private static final String PAIR = "headroom";

  private static final int PAIR_FIELDS = 5;
  private static final String QUEUE = "queue";
  private static final int QUEUE_FIELDS = 8;

  /** Lines of incarnations that may never list some of their completions. */
  private static final String SUPPRESSED = "hides";

  /** Lines of incarnations to which completions were acknowledged. */
  private static final String ACKNOWLEDGED = "acknowledged";

  private static final int INCARNATION_FIELDS = 3;

  /**
   * Lines of incarnations with deferred acknowledgements, and the lowest completion number of
   * these.
   */
  private static final String DEFERRED = "held";

  private static final int DEFERRED_FIELDS = INCARNATION_FIELDS + 1;

  /** Share of the text that the lines of incarnations leave free for those of queues and pairs. */
  private static final int LEARNED_SHARE = 4;

  /**
   * A text that was written.
   *
   * @param incarnationsCut how many incarnations did not fit into it
   * @param learnedCut how many queues and pairs did not fit
   */
  record Written(String text, int incarnationsCut, int learnedCut) {}

  private final Interference interference;
  private final DurationEstimates estimates;
  private final List<StoredLines> parts;
  private final int maxBytes;

  LearnedText(Interference interference, DurationEstimates estimates) {
    this(interference, estimates, List.of(), StoreLimits.STANDARD.sharedRowBytes());
  }

  /**
   * Creates the text of a leader with parts of load control.
   *
   * @param maxBytes size limit of the text, in bytes
   */
  LearnedText(
      Interference interference,
      DurationEstimates estimates,
      List<StoredLines> parts,
      int maxBytes) {
    this.interference = interference;
    this.estimates = estimates;
    this.parts = List.copyOf(parts);
    this.maxBytes = maxBytes;
  }

  /**
   * Returns the text. If it would exceed the size limit, the last of the incarnations with
   * suppressed completions and the pairs reported longest ago are left out.
   */
  Written write(
      Set<WorkerIncarnation> suppressed,
      Set<WorkerIncarnation> acknowledged,
      Map<WorkerIncarnation, Long> deferred) {
    List<String> pairs = interference.pairs().map(LearnedText::line).toList();
    List<String> learned =
        Stream.of(
                estimates.queues().map(LearnedText::line),
                parts.stream().flatMap(StoredLines::lines),
                reversed(pairs).stream())
            .flatMap(lines -> lines)
            .toList();
    List<String> incarnations =
        Stream.of(
                deferred.entrySet().stream()
                    .map(
                        entry ->
                            incarnationLine(DEFERRED, entry.getKey()) + " " + entry.getValue()),
                acknowledged.stream()
                    .map(incarnation -> incarnationLine(ACKNOWLEDGED, incarnation)),
                suppressed.stream().map(incarnation -> incarnationLine(SUPPRESSED, incarnation)))
            .flatMap(lines -> lines)
            .toList();
    List<String> keptIncarnations =
        first(incarnations, maxBytes - Math.min(bytes(learned), maxBytes / LEARNED_SHARE));
    List<String> keptLearned = first(learned, maxBytes - bytes(keptIncarnations));
    String text =
        Stream.concat(keptIncarnations.stream(), keptLearned.stream())
            .collect(Collectors.joining("\n"));
    return new Written(
        text, incarnations.size() - keptIncarnations.size(), learned.size() - keptLearned.size());
  }

  private static List<String> first(List<String> lines, int maxBytes) {
    int[] bytes = {0};
    return lines.stream().takeWhile(line -> (bytes[0] += line.length() + 1) <= maxBytes).toList();
  }

  private static int bytes(List<String> lines) {
    return lines.stream().mapToInt(line -> line.length() + 1).sum();
  }

  private static Deque<String> reversed(List<String> lines) {
    Deque<String> reversed = new ArrayDeque<>();
    lines.forEach(reversed::addFirst);
    return reversed;
  }

  private static String incarnationLine(String kind, WorkerIncarnation incarnation) {
    return String.join(
        " ", kind, escape(incarnation.worker().value()), "" + incarnation.startTimeMillis());
  }

  private static WorkerIncarnation incarnation(String[] fields) {
    return new WorkerIncarnation(new WorkerId(unescape(fields[1])), Long.parseLong(fields[2]));
  }

  private static String line(Interference.Pair pair) {
    return String.format(
        Locale.ROOT,
        "%s %s %s %.2f %.2f",
        PAIR,
        escape(pair.serving()),
        escape(pair.bestEffort()),
        pair.weight(),
        pair.variance());
  }

  private static String line(DurationEstimates.Queue queue) {
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
   * Reads a text back. Lines of another version of this program are skipped: that version leads in
   * turn with this one during a rolling replacement, and a leader that fails at the start of each
   * term would leave all jobs without progress.
   *
   * @param suppressed receives the incarnations that may never list some completions
   * @param acknowledged receives those to which completions were acknowledged
   * @param deferred receives the lowest number of a deferred acknowledgement for each incarnation
   *     that has some
   * @return how many lines were skipped
   */
  long restore(
      String text,
      Set<WorkerIncarnation> suppressed,
      Set<WorkerIncarnation> acknowledged,
      Map<WorkerIncarnation, Long> deferred) {
    List<String> lines = text.lines().toList();
    return lines.stream().filter(line -> !read(line, suppressed, acknowledged, deferred)).count();
  }

  /**
   * Returns the incarnations to which completions were acknowledged, from a text that {@link
   * #write} returned.
   */
  static Set<WorkerIncarnation> acknowledged(String text) {
    return text.lines()
        .map(line -> line.split(" ", -1))
        .filter(fields -> fields[0].equals(ACKNOWLEDGED))
        .map(LearnedText::incarnation)
        .collect(Collectors.toSet());
  }

  private boolean read(
      String line,
      Set<WorkerIncarnation> suppressed,
      Set<WorkerIncarnation> acknowledged,
      Map<WorkerIncarnation, Long> deferred) {
    String[] fields = line.split(" ", -1);
    try {
      if (fields[0].equals(SUPPRESSED) && fields.length == INCARNATION_FIELDS) {
        return suppressed.add(incarnation(fields));
      }
      if (fields[0].equals(ACKNOWLEDGED) && fields.length == INCARNATION_FIELDS) {
        return acknowledged.add(incarnation(fields));
      }
      if (fields[0].equals(DEFERRED) && fields.length == DEFERRED_FIELDS) {
        deferred.put(incarnation(fields), Long.parseLong(fields[INCARNATION_FIELDS]));
        return true;
      }
      if (fields[0].equals(PAIR) && fields.length == PAIR_FIELDS) {
        interference.restore(
            new Interference.Pair(
                unescape(fields[1]), unescape(fields[2]), number(fields[3]), number(fields[4])));
        return true;
      }
      if (fields[0].equals(QUEUE) && fields.length == QUEUE_FIELDS) {
        estimates.restore(
            new DurationEstimates.Queue(
                unescape(fields[1]),
                number(fields[2]),
                number(fields[3]),
                number(fields[4]),
                number(fields[5]),
                number(fields[6]),
                number(fields[7])));
        return true;
      }
      return parts.stream().anyMatch(part -> part.owns(fields[0]) && part.restore(fields));
    } catch (IllegalArgumentException e) {
      // The caller logs how many lines could not be read.
      return false;
    }
  }

  private static double number(String text) {
    double number = Double.parseDouble(text);
    if (!Double.isFinite(number)) {
      throw new IllegalArgumentException("not a finite number: " + text);
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
