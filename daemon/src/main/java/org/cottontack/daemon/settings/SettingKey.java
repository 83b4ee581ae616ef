package org.cottontack.daemon.settings;

import java.util.Arrays;
import java.util.Optional;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;

/** Every setting, with its place in the file, its unit, its range and its default. */
public enum SettingKey {
  /** The data centre this instance stands in. */
  DATA_CENTRE("dataCentre", Kind.TEXT, null, 0, 0, "name of the data centre"),
  /** Where callers reach it. */
  LISTEN_CALLERS("listen.callers", Kind.ADDRESS, null, 0, 0, "host:port"),
  /** Where operators reach it. */
  LISTEN_OPERATORS("listen.operators", Kind.ADDRESS, null, 0, 0, "host:port"),
  /** Where other entry instances reach it. */
  LISTEN_PEERS("listen.peers", Kind.ADDRESS, null, 0, 0, "host:port"),
  /** The platform's table service. */
  PLATFORM_STORE("platform.store", Kind.ADDRESS, null, 0, 0, "host:port"),
  /** The platform's list of instances. */
  PLATFORM_MEMBERSHIP("platform.membership", Kind.ADDRESS, null, 0, 0, "host:port"),
  /** Longest wait for the table service. */
  PLATFORM_TIMEOUT("platform.timeoutMillis", Kind.NUMBER, "1000", 10, 60_000, "milliseconds"),
  /** Ownership lease. */
  LEASE("ownership.leaseMillis", Kind.NUMBER, "10000", 500, 600_000, "milliseconds"),
  /** Margin for clocks that run at different speeds. */
  DRIFT("ownership.driftMarginMillis", Kind.NUMBER, "1000", 10, 60_000, "milliseconds"),
  /** Longest time ownership may be kept up without the store. */
  CUT_HORIZON(
      "ownership.cutHorizonMillis", Kind.NUMBER, "600000", 1_000, 86_400_000, "milliseconds"),
  /** Longest time an order may be under way. */
  ORDER_LIFETIME("ownership.orderLifetimeMillis", Kind.NUMBER, "2000", 50, 60_000, "milliseconds"),
  /** Lease of running tasks. */
  TASK_LEASE("tasks.leaseMillis", Kind.NUMBER, "30000", 1_000, 86_400_000, "milliseconds"),
  /** Least time between two transactions. */
  BATCH_GAP("store.batchGapMillis", Kind.NUMBER, "25", 0, 10_000, "milliseconds"),
  /** Most requests held. */
  MAX_QUEUED("limits.maxQueued", Kind.NUMBER, "4000", 1, 1_000_000, "requests"),
  /** Longest graceful stop. */
  DRAIN("limits.drainMillis", Kind.NUMBER, "20000", 0, 3_600_000, "milliseconds"),
  /** Entries of the time line kept in memory. */
  TIMELINE("limits.timelineEntries", Kind.NUMBER, "20000", 100, 1_000_000, "entries");

  private enum Kind {
    TEXT,
    ADDRESS,
    NUMBER
  }

  private final String path;
  private final Kind kind;
  private final String fallback;
  private final long least;
  private final long most;
  private final String unit;

  SettingKey(String path, Kind kind, String fallback, long least, long most, String unit) {
    this.path = path;
    this.kind = kind;
    this.fallback = fallback;
    this.least = least;
    this.most = most;
    this.unit = unit;
  }

  /** Returns where it stands in the file, such as {@code listen.callers}. */
  public String path() {
    return path;
  }

  /** Returns its default, or nothing when it must be given. */
  Optional<String> fallback() {
    return Optional.ofNullable(fallback);
  }

  /** Returns the setting at a place in the file. */
  static Optional<SettingKey> at(String path) {
    return Arrays.stream(values()).filter(key -> key.path.equals(path)).findFirst();
  }

  /** Returns what is wrong with a value, or nothing when it is right. */
  Optional<String> fault(String value) {
    return switch (kind) {
      case TEXT -> value.isBlank() ? Optional.of(path + ": is empty; give a " + unit) : ok();
      case ADDRESS -> addressFault(value);
      case NUMBER -> numberFault(value);
    };
  }

  private static Optional<String> ok() {
    return Optional.empty();
  }

  private Optional<String> addressFault(String value) {
    try {
      Address.parse(value);
      return ok();
    } catch (AdapterException e) {
      return Optional.of(path + ": " + e.getMessage());
    }
  }

  private Optional<String> numberFault(String value) {
    try {
      long number = Long.parseLong(value);
      return number >= least && number <= most
          ? ok()
          : Optional.of(
              "%s: %d is not between %d and %d %s".formatted(path, number, least, most, unit));
    } catch (NumberFormatException e) {
      return Optional.of("%s: '%s' is not a whole number of %s".formatted(path, value, unit));
    }
  }
}
