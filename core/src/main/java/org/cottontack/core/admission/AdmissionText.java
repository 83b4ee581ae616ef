package org.cottontack.core.admission;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The text of the row in which a leader publishes its limits: the version word and the epoch of the
 * leader, then a line for each limit with queue, least and greatest work, wait and retry. Names of
 * queues are escaped, because operators choose them.
 *
 * @param epoch the term of the leader that decided the limits
 * @param limits the jobs that it rejects
 */
public record AdmissionText(long epoch, AdmissionLimits limits) {

  /** Size limit of the text, in bytes: the row is written as often as twice a second. */
  public static final int MAX_BYTES = 2_000;

  private static final String VERSION = "v1";
  private static final int HEADER_WORDS = 2;
  private static final int LIMIT_WORDS = 5;

  /**
   * Parses a text. A text of another version, a longer one, and one with any unreadable line has no
   * meaning here, so that nothing is rejected because of it.
   */
  public static Optional<AdmissionText> parse(String text) {
    // Each character takes at least one byte, and the texts that this class writes are ASCII.
    if (text.length() > MAX_BYTES) {
      return Optional.empty();
    }
    List<String> lines = text.lines().toList();
    String[] header = lines.isEmpty() ? new String[0] : lines.get(0).split(" ", -1);
    if (header.length != HEADER_WORDS || !header[0].equals(VERSION)) {
      return Optional.empty();
    }
    try {
      List<AdmissionLimits.Limit> limits =
          lines.stream().skip(1).map(AdmissionText::limit).toList();
      return Optional.of(new AdmissionText(Long.parseLong(header[1]), new AdmissionLimits(limits)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static AdmissionLimits.Limit limit(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != LIMIT_WORDS) {
      throw new IllegalArgumentException("not a limit: " + line);
    }
    return new AdmissionLimits.Limit(
        URLDecoder.decode(words[0], StandardCharsets.UTF_8),
        Double.parseDouble(words[1]),
        Double.parseDouble(words[2]),
        Long.parseLong(words[3]),
        Long.parseLong(words[4]));
  }

  /**
   * Returns the text of the row. The last limits are left out where they exceed the size limit, so
   * that the jobs that they cover are accepted.
   */
  public String text() {
    int[] bytes = {0};
    return Stream.concat(
            Stream.of(VERSION + " " + epoch), limits.limits().stream().map(AdmissionText::line))
        .takeWhile(line -> (bytes[0] += line.length() + 1) <= MAX_BYTES)
        .collect(Collectors.joining("\n"));
  }

  private static String line(AdmissionLimits.Limit limit) {
    return String.join(
        " ",
        URLEncoder.encode(limit.queue(), StandardCharsets.UTF_8),
        Double.toString(limit.minWork()),
        Double.toString(limit.maxWork()),
        Long.toString(limit.waitMillis()),
        Long.toString(limit.retryAfterMillis()));
  }
}
