package org.cottontack.core.load;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The load control of a deployment; fixed while a process runs.
 *
 * @param parts the parts in force
 * @param stopMillis how long a worker may take to stop a run, in milliseconds
 * @param restoreMillis how long a run takes to resume from a checkpoint, in milliseconds
 */
public record LoadControl(Set<LoadPart> parts, long stopMillis, long restoreMillis) {

  /** Default of {@link #stopMillis}. */
  public static final long DEFAULT_STOP_MILLIS = 200;

  /** Default of {@link #restoreMillis}. */
  public static final long DEFAULT_RESTORE_MILLIS = 100;

  /** No part is in force. */
  public static final LoadControl OFF =
      new LoadControl(Set.of(), DEFAULT_STOP_MILLIS, DEFAULT_RESTORE_MILLIS);

  /** Makes the set immutable. */
  public LoadControl {
    parts = Set.copyOf(parts);
  }

  /** Returns the load control that settings choose; parts without a mode are not in force. */
  public static LoadControl of(
      Map<LoadPart, LoadPart.Mode> modes, long stopMillis, long restoreMillis) {
    Set<LoadPart> parts =
        Stream.of(LoadPart.values())
            .filter(part -> modes.getOrDefault(part, LoadPart.Mode.DISABLED).inForce(stopMillis))
            .collect(Collectors.toSet());
    return new LoadControl(parts, stopMillis, restoreMillis);
  }

  /** Returns whether a part is in force. */
  public boolean has(LoadPart part) {
    return parts.contains(part);
  }
}
