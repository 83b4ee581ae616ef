package org.cottontack.core.job;

/**
 * A row of the table that callers submit jobs to.
 *
 * @param name the row's name
 * @param host the host part of its address
 * @param prefix the path that its jobs' paths begin with
 * @param pool the pool of workers that runs its tasks
 * @param priority 0 goes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch objective as a multiple of the job's longest chain of work
 * @param targetMillis added to that objective, in milliseconds
 * @param advised whether a policy outside decides which workers may run a step
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
