package org.cottontack.daemon.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.WorkerIncarnation;

/**
 * The text of the row with the ends of leases of unreachable workers: the epoch of its writer, then
 * a line for each worker. Identifiers are escaped, because the platform chooses them.
 *
 * @param epoch the epoch of the leader that wrote it
 * @param ends when all leases of a worker have ended, on the store's clock, in milliseconds
 */
record LeaseEndsText(long epoch, Map<WorkerIncarnation, Long> ends) {

  private static final Pattern EPOCH = Pattern.compile("(\\d{1,15})");
  private static final Pattern LINE =
      Pattern.compile("((?:[\\w.*+-]|%[0-9A-F]{2})+) (\\d{1,15}) (\\d{1,15})");

  /**
   * Parses a text. Without an end the next leader waits for longer, which is always safe, so a text
   * of another form counts as one without ends.
   */
  static LeaseEndsText parse(String text) {
    String[] lines = text.split("\n", -1);
    Matcher epoch = EPOCH.matcher(lines[0]);
    if (!epoch.matches()) {
      return new LeaseEndsText(0, Map.of());
    }
    Map<WorkerIncarnation, Long> ends = new HashMap<>();
    Stream.of(lines).skip(1).forEach(line -> end(line).ifPresent(end -> ends.putAll(end)));
    return new LeaseEndsText(Long.parseLong(epoch.group(1)), ends);
  }

  private static Optional<Map<WorkerIncarnation, Long>> end(String line) {
    return Optional.of(LINE.matcher(line))
        .filter(Matcher::matches)
        .map(
            match ->
                Map.of(
                    new WorkerIncarnation(
                        new WorkerId(URLDecoder.decode(match.group(1), StandardCharsets.UTF_8)),
                        Long.parseLong(match.group(2))),
                    Long.parseLong(match.group(3))));
  }

  /**
   * Returns the text of the row. Ends that exceed the size limit are left out.
   *
   * @param maxBytes size limit of the text, in bytes
   */
  String text(int maxBytes) {
    int[] bytes = {0};
    return Stream.concat(
            Stream.of(Long.toString(epoch)),
            ends.entrySet().stream().map(entry -> line(entry.getKey(), entry.getValue())))
        .takeWhile(line -> (bytes[0] += line.length() + 1) <= maxBytes)
        .collect(Collectors.joining("\n"));
  }

  private static String line(WorkerIncarnation worker, long end) {
    String id = URLEncoder.encode(worker.worker().value(), StandardCharsets.UTF_8);
    return id + " " + worker.startTimeMillis() + " " + end;
  }
}
