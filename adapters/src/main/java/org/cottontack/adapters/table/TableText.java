package org.cottontack.adapters.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.table.RowKind;
import org.cottontack.core.table.RowSpec;
import org.cottontack.core.table.TableContent;
import org.cottontack.core.table.TeamSpec;
import org.cottontack.core.task.Demand;

/**
 * Reads and writes the operators' table as YAML. JSON is accepted because it is a subset of YAML.
 */
public final class TableText {

  private static final YAMLMapper YAML =
      Json.configure(YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER));

  private TableText() {}

  /**
   * One row as operators write it. Columns that do not apply to its kind may be omitted.
   *
   * @param name the unique name
   * @param kind service or batch
   * @param team the team
   * @param weight the weight by day
   * @param nightWeight the weight by night; defaults to the weight by day
   * @param idempotent whether the work may safely run twice; defaults to false
   * @param targetMillis the expected latency of a service
   * @param deadlineMillis the longest time until a response or the end of the work
   * @param maxInFlight the maximum number of requests or tasks in progress at the same time
   * @param demand the declared resources of batch work
   * @param urgent whether batch work is started before other batch work
   */
  record RowText(
      RowName name,
      RowKind kind,
      TeamId team,
      Integer weight,
      Integer nightWeight,
      Boolean idempotent,
      Long targetMillis,
      Long deadlineMillis,
      Integer maxInFlight,
      Demand demand,
      Boolean urgent) {

    RowSpec spec() {
      return new RowSpec(
          required(name, "name"),
          required(kind, "kind"),
          required(team, "team"),
          required(weight, "weight"),
          Optional.ofNullable(nightWeight).orElse(weight),
          Optional.ofNullable(idempotent).orElse(false),
          Optional.ofNullable(targetMillis).orElse(0L),
          required(deadlineMillis, "deadlineMillis"),
          required(maxInFlight, "maxInFlight"),
          Optional.ofNullable(demand).orElse(Demand.NONE),
          Optional.ofNullable(urgent).orElse(false));
    }

    private <T> T required(T value, String column) {
      if (value == null) {
        throw new AdapterException(
            AdapterException.Code.MALFORMED,
            "row %s: column %s is missing".formatted(name == null ? "?" : name, column),
            null);
      }
      return value;
    }
  }

  /**
   * The whole table as operators write it.
   *
   * @param nightFromHour the hour in UTC at which night weights begin to apply; defaults to 0
   * @param nightToHour the hour in UTC at which they cease to apply; defaults to 0
   * @param teams all teams
   * @param rows all rows
   */
  record Text(
      Integer nightFromHour, Integer nightToHour, List<TeamSpec> teams, List<RowText> rows) {}

  /**
   * Parses a table.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED} if the text is not a
   *     valid table; the message names line, column and field
   */
  public static TableContent read(String text) {
    try {
      Text parsed = YAML.readValue(text, Text.class);
      if (parsed == null || parsed.rows() == null || parsed.teams() == null) {
        throw new AdapterException(
            AdapterException.Code.MALFORMED, "a table needs the lists teams and rows", null);
      }
      return new TableContent(
          Optional.ofNullable(parsed.nightFromHour()).orElse(0),
          Optional.ofNullable(parsed.nightToHour()).orElse(0),
          parsed.teams(),
          parsed.rows().stream().map(RowText::spec).toList());
    } catch (JsonProcessingException e) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED, fieldPath(e) + Json.oneLine(e), e);
    }
  }

  private static String fieldPath(JsonProcessingException exception) {
    if (!(exception instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
      return "";
    }
    return mapping.getPath().stream()
            .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
            .collect(Collectors.joining("."))
        + ", ";
  }

  /** Returns a table as YAML, with rows and teams sorted by name. */
  public static String write(TableContent table) {
    TableContent sorted =
        new TableContent(
            table.nightFromHour(),
            table.nightToHour(),
            table.teams().stream().sorted(Comparator.comparing(TeamSpec::name)).toList(),
            table.rows().stream().sorted(Comparator.comparing(RowSpec::name)).toList());
    try {
      return YAML.writeValueAsString(sorted);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the table", e);
    }
  }
}
