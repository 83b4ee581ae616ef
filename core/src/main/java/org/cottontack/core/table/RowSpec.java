package org.cottontack.core.table;

import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.task.Demand;

/**
 * One row of the operators' table.
 *
 * @param name the name, unique in the table
 * @param kind service or batch
 * @param team the team whose quota the row's work counts against
 * @param weight weight relative to other rows by day, 1 to 1000
 * @param nightWeight weight relative to other rows by night, 1 to 1000
 * @param idempotent whether a request or task may safely run twice
 * @param targetMillis for a service, the latency that its callers expect
 * @param deadlineMillis maximum duration of a request, or of a batch task from submission to end
 * @param maxInFlight maximum number of this row's requests in one entry instance, or of its tasks
 *     on the workers that one entry instance owns
 * @param demand declared resource demand of one batch task
 * @param urgent whether its batch tasks are placed before others
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
