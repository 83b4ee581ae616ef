package org.cottontack.core.task;

import java.util.stream.Stream;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MiB
 * @param accelerators number of whole accelerators
 */
public record Demand(int cpuMillis, int memoryMb, int accelerators) {

  /** Zero in every dimension. */
  public static final Demand NONE = new Demand(0, 0, 0);

  /** Returns the sum of two amounts. */
  public Demand plus(Demand other) {
    return new Demand(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns the larger amount in each dimension. */
  public Demand max(Demand other) {
    return new Demand(
        Math.max(cpuMillis, other.cpuMillis),
        Math.max(memoryMb, other.memoryMb),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether this amount fits into another in every dimension. */
  public boolean fitsIn(Demand capacity) {
    return cpuMillis <= capacity.cpuMillis
        && memoryMb <= capacity.memoryMb
        && accelerators <= capacity.accelerators;
  }

  /** Returns the largest share of a capacity over all dimensions; 1 is full, more is too much. */
  public double shareOf(Demand capacity) {
    return Stream.of(
            share(cpuMillis, capacity.cpuMillis),
            share(memoryMb, capacity.memoryMb),
            share(accelerators, capacity.accelerators))
        .max(Double::compare)
        .orElseThrow();
  }

  private static double share(int amount, int capacity) {
    return amount == 0 ? 0 : (double) amount / Math.max(1, capacity);
  }
}
