package org.cottontack.core.admission;

/**
 * What an admission decision learns from a job that arrives. Work is in thousandths of a core times
 * milliseconds.
 *
 * @param queue the name of its queue
 * @param declaredWork its work as its caller declared it
 * @param expectedWork its work by measured durations
 * @param chainMillis its expected duration if no task has to wait, in milliseconds
 * @param objectiveMillis how long after its arrival it should be complete, in milliseconds
 */
public record NewJob(
    String queue,
    double declaredWork,
    double expectedWork,
    long chainMillis,
    long objectiveMillis) {}
