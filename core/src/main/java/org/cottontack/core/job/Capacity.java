package org.cottontack.core.job;

import java.util.Optional;

/**
 * The resources of an instance that matter for leadership: decisions take processor time, and a
 * takeover reads all open jobs over the network link.
 *
 * @param processorMillis processor time, in thousandths of a core
 * @param linkKilobits bandwidth of its own link, in kilobits per second
 */
public record Capacity(long processorMillis, long linkKilobits) {

  /**
   * Factor above which a capacity is clearly larger. A change of leader stops all starts for some
   * hundred milliseconds, which a smaller gain does not make up for.
   */
  private static final int CLEAR_RATIO = 2;

  /**
   * Parses the output of {@link #text}.
   *
   * @return empty when the text has another form
   */
  public static Optional<Capacity> parse(String text) {
    String[] fields = text.split(" ", -1);
    if (fields.length != 2) {
      return Optional.empty();
    }
    try {
      return Optional.of(new Capacity(Long.parseLong(fields[0]), Long.parseLong(fields[1])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether this capacity is clearly larger: more than twice as much in one component, and
   * no less in the other.
   */
  public boolean clearlyLargerThan(Capacity other) {
    boolean noLess = processorMillis >= other.processorMillis && linkKilobits >= other.linkKilobits;
    return noLess
        && (processorMillis > CLEAR_RATIO * other.processorMillis
            || linkKilobits > CLEAR_RATIO * other.linkKilobits);
  }

  /** Returns both numbers as text, separated by a space. */
  public String text() {
    return processorMillis + " " + linkKilobits;
  }
}
