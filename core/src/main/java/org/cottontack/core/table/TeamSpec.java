package org.cottontack.core.table;

import org.cottontack.core.id.TeamId;

/**
 * The quota of a team.
 *
 * @param name the name, unique in the table
 * @param maxCpuMillis maximum processor capacity that its batch tasks may occupy in one data
 *     centre, in thousandths of a core
 * @param maxInFlight maximum number of requests of all its rows in one entry instance
 */
public record TeamSpec(TeamId name, int maxCpuMillis, int maxInFlight) {}
