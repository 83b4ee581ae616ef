package org.cottontack.core.job;

/**
 * A row of the table to which callers submit jobs.
 *
 * @param name the row's name
 * @param host the host part of its address
 * @param prefix the prefix of its jobs' paths
 * @param pool the pool of workers that runs its tasks
 * @param priority lower values are placed first; 0 is the most urgent
 * @param maxAttempts number of failed runs of one task after which its job fails
 * @param stretch objective as a multiple of the job's critical path
 * @param targetMillis added to that objective, in milliseconds
 * @param advised whether an external policy decides which workers may run a step
 */
public record JobQueue(
    String name,
    String host,
    String prefix,
    String pool,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    boolean advised) {}
