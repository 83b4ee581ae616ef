package org.cottontack.core.table;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.TeamId;

/** Validates a complete table before it is accepted, and reports all faults at once. */
public final class TableCheck {

  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_IN_FLIGHT = 100_000;
  private static final long MAX_DEADLINE_MILLIS = 7L * 24 * 3_600_000;

  private TableCheck() {}

  /** Returns all faults of the table, or an empty list if the table is valid. */
  public static List<TableFault> faults(TableContent table) {
    Set<TeamId> teams = table.teams().stream().map(TeamSpec::name).collect(Collectors.toSet());
    return Stream.of(
            hours(table),
            duplicates("team", table.teams(), team -> team.name().value()),
            duplicates("row", table.rows(), row -> row.name().value()),
            table.teams().stream().flatMap(TableCheck::team),
            table.rows().stream().flatMap(row -> row(row, teams)))
        .flatMap(Function.identity())
        .toList();
  }

  private static Stream<TableFault> hours(TableContent table) {
    return Stream.concat(
        range("table", "nightFromHour", table.nightFromHour(), 0, 23),
        range("table", "nightToHour", table.nightToHour(), 0, 23));
  }

  private static <T> Stream<TableFault> duplicates(
      String kind, List<T> items, Function<T, String> name) {
    return items.stream()
        .collect(Collectors.groupingBy(name, Collectors.counting()))
        .entrySet()
        .stream()
        .filter(entry -> entry.getValue() > 1)
        .sorted(Map.Entry.comparingByKey())
        .map(
            entry ->
                new TableFault(
                    kind + " " + entry.getKey(),
                    "name",
                    "occurs " + entry.getValue() + " times; names must be unique"));
  }

  private static Stream<TableFault> team(TeamSpec team) {
    String place = "team " + team.name();
    return Stream.concat(
        range(place, "maxCpuMillis", team.maxCpuMillis(), 0, Integer.MAX_VALUE),
        range(place, "maxInFlight", team.maxInFlight(), 0, MAX_IN_FLIGHT));
  }

  private static Stream<TableFault> row(RowSpec row, Set<TeamId> teams) {
    String place = "row " + row.name();
    return Stream.of(
            range(place, "weight", row.weight(), 1, MAX_WEIGHT),
            range(place, "nightWeight", row.nightWeight(), 1, MAX_WEIGHT),
            range(place, "deadlineMillis", row.deadlineMillis(), 1, MAX_DEADLINE_MILLIS),
            range(place, "maxInFlight", row.maxInFlight(), 1, MAX_IN_FLIGHT),
            knownTeam(place, row, teams),
            row.kind() == RowKind.SERVICE ? service(place, row) : batch(place, row))
        .flatMap(Function.identity());
  }

  private static Stream<TableFault> knownTeam(String place, RowSpec row, Set<TeamId> teams) {
    return teams.contains(row.team())
        ? Stream.empty()
        : Stream.of(
            new TableFault(
                place, "team", "no team is named " + row.team() + "; add it under teams"));
  }

  private static Stream<TableFault> service(String place, RowSpec row) {
    return row.targetMillis() >= 1 && row.targetMillis() <= row.deadlineMillis()
        ? Stream.empty()
        : Stream.of(
            new TableFault(
                place,
                "targetMillis",
                "%d is not between 1 and deadlineMillis (%d)"
                    .formatted(row.targetMillis(), row.deadlineMillis())));
  }

  private static Stream<TableFault> batch(String place, RowSpec row) {
    return Stream.of(
            range(place, "cpuMillis", row.demand().cpuMillis(), 1, 1_000_000),
            range(place, "memoryMb", row.demand().memoryMb(), 1, 16_000_000),
            range(place, "accelerators", row.demand().accelerators(), 0, 64))
        .flatMap(Function.identity());
  }

  private static Stream<TableFault> range(
      String place, String column, long value, long min, long max) {
    return value >= min && value <= max
        ? Stream.empty()
        : Stream.of(
            new TableFault(
                place, column, "%d is not between %d and %d".formatted(value, min, max)));
  }
}
