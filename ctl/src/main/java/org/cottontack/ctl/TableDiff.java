package org.cottontack.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.id.RowName;
import org.cottontack.core.table.RowSpec;
import org.cottontack.core.table.TableContent;
import org.cottontack.core.table.TeamSpec;

/** Lists the differences between two tables, with one entry for each row or team. */
final class TableDiff {

  private TableDiff() {}

  static List<String> lines(TableContent before, TableContent after) {
    List<String> lines = new ArrayList<>();
    if (before.nightFromHour() != after.nightFromHour()
        || before.nightToHour() != after.nightToHour()) {
      lines.add(
          "~ night: %d-%d -> %d-%d"
              .formatted(
                  before.nightFromHour(),
                  before.nightToHour(),
                  after.nightFromHour(),
                  after.nightToHour()));
    }
    teams(before, after, lines);
    for (RowName name : before.changedRows(after)) {
      lines.add(line("row " + name, json(before.row(name)), json(after.row(name))));
    }
    return lines;
  }

  private static void teams(TableContent before, TableContent after, List<String> lines) {
    for (TeamSpec team : before.teams()) {
      Optional<TeamSpec> now = after.team(team.name());
      if (!now.equals(Optional.of(team))) {
        lines.add(line("team " + team.name(), Json.write(team), now.map(Json::write).orElse("")));
      }
    }
    after.teams().stream()
        .filter(team -> before.team(team.name()).isEmpty())
        .forEach(team -> lines.add(line("team " + team.name(), "", Json.write(team))));
  }

  private static String json(Optional<RowSpec> row) {
    return row.map(Json::write).orElse("");
  }

  private static String line(String subject, String before, String after) {
    if (before.isEmpty()) {
      return "+ " + subject + ": " + after;
    }
    return after.isEmpty()
        ? "- " + subject + ": " + before
        : "~ " + subject + ":\n    was " + before + "\n    now " + after;
  }
}
