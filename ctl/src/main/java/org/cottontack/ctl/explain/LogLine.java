package org.cottontack.ctl.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.json.Json;

/**
 * One line that an entry instance wrote.
 *
 * @param millis when, in milliseconds since 1970 by the instance's time of day
 * @param event its name, such as {@code job.placed}
 * @param subject what it is about; empty when it names nothing
 * @param detail the rest, as text
 * @param fields all its fields
 */
record LogLine(long millis, String event, String subject, String detail, JsonNode fields) {

  /** Reads a line; nothing when it holds no event. Text before the first brace is passed over. */
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
      // A line that was cut off when its process was killed says nothing to us.
      return Optional.empty();
    }
  }

  /** Returns the number behind {@code name=} in the detail; 0 when there is none. */
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
