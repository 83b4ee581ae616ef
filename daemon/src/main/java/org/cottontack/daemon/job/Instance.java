package org.cottontack.daemon.job;

import org.cottontack.core.job.Capacity;

/**
 * An entry instance; the same for each of its incarnations.
 *
 * @param name its name
 * @param dataCentre the data centre it is in
 * @param capacity its capacity for leading
 */
public record Instance(String name, String dataCentre, Capacity capacity) {}
