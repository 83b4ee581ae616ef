package org.cottontack.core.table;

import org.cottontack.core.id.TeamId;

/**
 * The quota of a team.
 *
 * @param name unique in the table
 * @param maxCpuMillis most processor its batch tasks may hold in one data centre, in thousandths of
 *     a core
 * @param maxInFlight most requests of all its rows in one entry instance
 */
public record TeamSpec(TeamId name, int maxCpuMillis, int maxInFlight) {}
