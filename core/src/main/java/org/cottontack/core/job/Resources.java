package org.cottontack.core.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memMb memory, in megabytes
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillis, long memMb, long accelerators) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis, memMb + other.memMb, accelerators + other.accelerators);
  }

  /** Returns the difference; each component may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis, memMb - other.memMb, accelerators - other.accelerators);
  }

  /** Returns the smaller amount in each component. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cpuMillis, other.cpuMillis),
        Math.min(memMb, other.memMb),
        Math.min(accelerators, other.accelerators));
  }

  /** Returns whether this amount is at least as large in each component. */
  public boolean holds(Resources other) {
    return cpuMillis >= other.cpuMillis
        && memMb >= other.memMb
        && accelerators >= other.accelerators;
  }
}
