package org.cottontack.core.job;

import java.util.Optional;

/**
 * What an instance has for leading: decisions take processor time, a takeover reads all open jobs
 * over the link.
 *
 * @param processorMillis its processor, in thousandths of a core
 * @param linkKilobits its own link, in kilobits a second
 */
public record Capacity(long processorMillis, long linkKilobits) {

  /**
   * How many times as much is clearly more, as a factor: a change of leader stops all starts for
   * some hundred milliseconds, which a smaller gain does not bring back.
   */
  private static final int CLEAR_RATIO = 2;

  /**
   * Reads what {@link #text} has written.
   *
   * @return nothing when the text is none of ours
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
   * Returns whether this is clearly more: more than twice as much of one, and no less of the other.
   */
  public boolean clearlyLargerThan(Capacity other) {
    boolean noLess = processorMillis >= other.processorMillis && linkKilobits >= other.linkKilobits;
    return noLess
        && (processorMillis > CLEAR_RATIO * other.processorMillis
            || linkKilobits > CLEAR_RATIO * other.linkKilobits);
  }

  /** Returns both figures as text, a blank between them. */
  public String text() {
    return processorMillis + " " + linkKilobits;
  }
}
