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

/** The operators' table as text: YAML, of which JSON is a part. */
public final class TableText {

  private static final YAMLMapper YAML =
      Json.configure(YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER));

  private TableText() {}

  /**
   * One row as operators write it. Columns that do not matter for its kind may be left out.
   *
   * @param name unique name
   * @param kind service or batch
   * @param team team
   * @param weight share by day
   * @param nightWeight share by night, the same as by day when left out
   * @param idempotent whether it may safely run twice, no when left out
   * @param targetMillis for a service, expected latency
   * @param deadlineMillis longest time to an answer or an end
   * @param maxInFlight most at once
   * @param demand for batch, declared need
   * @param urgent for batch, whether it goes before others
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
   * @param nightFromHour hour in UTC at which night weights begin, 0 when left out
   * @param nightToHour hour in UTC at which they end, 0 when left out
   * @param teams all teams
   * @param rows all rows
   */
  record Text(
      Integer nightFromHour, Integer nightToHour, List<TeamSpec> teams, List<RowText> rows) {}

  /**
   * Reads a table.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED}; its message names line,
   *     column and field
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
      throw new AdapterException(AdapterException.Code.MALFORMED, place(e) + Json.oneLine(e), e);
    }
  }

  private static String place(JsonProcessingException fault) {
    if (!(fault instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
      return "";
    }
    return mapping.getPath().stream()
            .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
            .collect(Collectors.joining("."))
        + ", ";
  }

  /** Writes a table as YAML, rows and teams sorted by name. */
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
