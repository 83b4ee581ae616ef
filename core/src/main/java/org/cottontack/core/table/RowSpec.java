package org.cottontack.core.table;

import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.task.Demand;

/**
 * One row of the operators' table.
 *
 * @param name unique in the table
 * @param kind service or batch
 * @param team the team whose quota the row's work counts against
 * @param weight share by day against other rows, 1 to 1000
 * @param nightWeight share by night, 1 to 1000
 * @param idempotent whether a request or task may safely run twice
 * @param targetMillis for a service, the latency its callers expect
 * @param deadlineMillis longest a request may take, or a batch task from submission to end
 * @param maxInFlight most requests of this row in one entry instance, or most of its tasks running
 *     in one data centre's share of an entry instance
 * @param demand what one batch task is declared to need
 * @param urgent whether its batch tasks go before others
 */
public record RowSpec(
    RowName name,
    RowKind kind,
    TeamId team,
    int weight,
    int nightWeight,
    boolean idempotent,
    long targetMillis,
    long deadlineMillis,
    int maxInFlight,
    Demand demand,
    boolean urgent) {}
