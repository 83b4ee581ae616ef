package org.cottontack.daemon.job;

import org.cottontack.core.job.Capacity;

/**
 * An entry instance, the same in each of its lives.
 *
 * @param name its name
 * @param dataCentre where it is
 * @param capacity what it has for leading
 */
public record Instance(String name, String dataCentre, Capacity capacity) {}
