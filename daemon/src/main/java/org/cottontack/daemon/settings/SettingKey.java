package org.cottontack.daemon.settings;

/** Every setting of an entry instance, with its place in the file, unit, range and default. */
public enum SettingKey implements SettingName {
  /** The data centre this instance stands in. */
  DATA_CENTRE(SettingRule.text("dataCentre", "name of the data centre")),
  /** Where callers reach it. */
  LISTEN_CALLERS(SettingRule.address("listen.callers")),
  /** Where operators reach it. */
  LISTEN_OPERATORS(SettingRule.address("listen.operators")),
  /** Where other entry instances reach it. */
  LISTEN_PEERS(SettingRule.address("listen.peers")),
  /** The platform's table service. */
  PLATFORM_STORE(SettingRule.address("platform.store")),
  /** The platform's list of instances. */
  PLATFORM_MEMBERSHIP(SettingRule.address("platform.membership")),
  /** Longest wait for the table service. */
  PLATFORM_TIMEOUT(
      SettingRule.number("platform.timeoutMillis", "1000", 10, 60_000, "milliseconds")),
  /** Ownership lease. */
  LEASE(SettingRule.number("ownership.leaseMillis", "10000", 500, 600_000, "milliseconds")),
  /** Margin for clocks that run at different speeds. */
  DRIFT(SettingRule.number("ownership.driftMarginMillis", "1000", 10, 60_000, "milliseconds")),
  /** Longest time ownership may be kept up without the store. */
  CUT_HORIZON(
      SettingRule.number(
          "ownership.cutHorizonMillis", "600000", 1_000, 86_400_000, "milliseconds")),
  /** Longest time an order may be under way. */
  ORDER_LIFETIME(
      SettingRule.number("ownership.orderLifetimeMillis", "2000", 50, 60_000, "milliseconds")),
  /** Lease of running tasks. */
  TASK_LEASE(SettingRule.number("tasks.leaseMillis", "30000", 1_000, 86_400_000, "milliseconds")),
  /** Least time between two transactions. */
  BATCH_GAP(SettingRule.number("store.batchGapMillis", "25", 0, 10_000, "milliseconds")),
  /** Most requests held. */
  MAX_QUEUED(SettingRule.number("limits.maxQueued", "4000", 1, 1_000_000, "requests")),
  /** Longest graceful stop. */
  DRAIN(SettingRule.number("limits.drainMillis", "20000", 0, 3_600_000, "milliseconds")),
  /** Entries of the time line kept in memory. */
  TIMELINE(SettingRule.number("limits.timelineEntries", "20000", 100, 1_000_000, "entries"));

  private final SettingRule rule;

  SettingKey(SettingRule rule) {
    this.rule = rule;
  }

  @Override
  public SettingRule rule() {
    return rule;
  }
}
