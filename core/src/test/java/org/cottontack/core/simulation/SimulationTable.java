package org.cottontack.core.simulation;

import java.util.List;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.table.RowKind;
import org.cottontack.core.table.RowSpec;
import org.cottontack.core.table.TableContent;
import org.cottontack.core.table.TeamSpec;
import org.cottontack.core.task.Demand;

/** The table of the simulation: two service rows, three batch rows, one team. */
public final class SimulationTable {

  private SimulationTable() {}

  /** Returns the table. */
  public static TableContent content() {
    return content(1_000);
  }

  /** Returns the table with another limit for the service rows. */
  public static TableContent content(int limit) {
    return new TableContent(
        0,
        0,
        List.of(new TeamSpec(new TeamId("team"), 1_000_000, 2_000)),
        List.of(
            service("check", true, limit),
            service("transfer", false, limit),
            batch("reconcile", false),
            new RowSpec(
                new RowName("notice"),
                RowKind.BATCH,
                new TeamId("team"),
                10,
                10,
                false,
                0,
                3_600_000,
                1_000,
                new Demand(2_000, 1_000, 0),
                false),
            batch("recall", true)));
  }

  private static RowSpec service(String name, boolean idempotent, int limit) {
    return new RowSpec(
        new RowName(name),
        RowKind.SERVICE,
        new TeamId("team"),
        10,
        10,
        idempotent,
        50,
        2_000,
        limit,
        Demand.NONE,
        false);
  }

  private static RowSpec batch(String name, boolean urgent) {
    return new RowSpec(
        new RowName(name),
        RowKind.BATCH,
        new TeamId("team"),
        10,
        10,
        true,
        0,
        3_600_000,
        1_000,
        new Demand(2_000, 1_000, 0),
        urgent);
  }
}
