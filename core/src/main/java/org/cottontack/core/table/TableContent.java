package org.cottontack.core.table;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;

/**
 * The content of the operators' table: all rows and teams, and the hours of the night weights.
 *
 * @param nightFromHour hour of the day in UTC at which night weights start to apply, 0 to 23
 * @param nightToHour hour of the day in UTC at which they cease to apply, 0 to 23; if equal to
 *     {@code nightFromHour}, night weights never apply
 * @param teams all teams
 * @param rows all rows
 */
public record TableContent(
    int nightFromHour, int nightToHour, List<TeamSpec> teams, List<RowSpec> rows) {

  /** Copies the teams and rows into immutable lists. */
  public TableContent {
    teams = List.copyOf(teams);
    rows = List.copyOf(rows);
  }

  /** Returns the row with the given name. */
  public Optional<RowSpec> row(RowName name) {
    return rows.stream().filter(row -> row.name().equals(name)).findFirst();
  }

  /** Returns the team with the given name. */
  public Optional<TeamSpec> team(TeamId name) {
    return teams.stream().filter(team -> team.name().equals(name)).findFirst();
  }

  /** Returns the weight of a row at a wall-clock time in milliseconds since 1970. */
  public int weightAt(RowSpec row, long wallMillis) {
    int hour = Instant.ofEpochMilli(wallMillis).atZone(ZoneOffset.UTC).getHour();
    return isNight(hour) ? row.nightWeight() : row.weight();
  }

  private boolean isNight(int hour) {
    return nightFromHour <= nightToHour
        ? hour >= nightFromHour && hour < nightToHour
        : hour >= nightFromHour || hour < nightToHour;
  }

  /** Returns the sorted names of the rows that differ between this content and another. */
  public List<RowName> changedRows(TableContent other) {
    Map<RowName, RowSpec> ownRows = byName();
    Map<RowName, RowSpec> otherRows = other.byName();
    return Stream.concat(ownRows.keySet().stream(), otherRows.keySet().stream())
        .distinct()
        .filter(name -> !Objects.equals(ownRows.get(name), otherRows.get(name)))
        .sorted()
        .toList();
  }

  private Map<RowName, RowSpec> byName() {
    return rows.stream().collect(Collectors.toMap(RowSpec::name, Function.identity()));
  }
}
