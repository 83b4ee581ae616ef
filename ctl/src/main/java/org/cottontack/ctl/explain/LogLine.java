package org.cottontack.ctl.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.json.Json;

/**
 * A log event written by an entry instance.
 *
 * @param millis the time in milliseconds since the epoch, by the wall clock of the instance
 * @param event the name of the event, such as {@code job.placed}
 * @param subject the subject of the event; empty if it has none
 * @param detail the details as text
 * @param fields all fields of the event
 */
record LogLine(long millis, String event, String subject, String detail, JsonNode fields) {

  /** Parses a line, or returns empty if it has no event. Ignores text before the first brace. */
  static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode tree = Json.tree(text.substring(start));
      JsonNode entry = tree.path("entry");
      if (!entry.path("event").isTextual()) {
        return Optional.empty();
      }
      long millis = Instant.parse(tree.path("time").asText()).toEpochMilli();
      String subject =
          entry.path("subject").isTextual()
              ? entry.path("subject").asText()
              : entry.path("job").asText();
      return Optional.of(
          new LogLine(
              millis, entry.path("event").asText(), subject, entry.path("detail").asText(), entry));
    } catch (AdapterException | DateTimeParseException e) {
      // The line may have been cut off when its process was killed.
      return Optional.empty();
    }
  }

  /** Returns the number after {@code name=} in the details, or 0 if there is none. */
  long number(String name) {
    String key = name + "=";
    int at = (" " + detail).indexOf(" " + key);
    if (at < 0) {
      return 0;
    }
    String rest = detail.substring(at + key.length());
    int end = 0;
    while (end < rest.length() && Character.isDigit(rest.charAt(end))) {
      end++;
    }
    return end == 0 ? 0 : Long.parseLong(rest.substring(0, end));
  }
}
