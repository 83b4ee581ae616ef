package org.cottontack.daemon.settings;

/**
 * All settings of an entry instance, each with its path in the file, its unit, its range and its
 * default.
 */
public enum SettingKey implements SettingName {
  /** The data centre of this instance. */
  DATA_CENTRE(SettingRule.text("dataCentre", "name of the data centre")),
  /** The address on which callers reach it. */
  LISTEN_CALLERS(SettingRule.address("listen.callers")),
  /** The address on which operators reach it. */
  LISTEN_OPERATORS(SettingRule.address("listen.operators")),
  /** The address on which other entry instances reach it. */
  LISTEN_PEERS(SettingRule.address("listen.peers")),
  /** The address of the platform's table service. */
  PLATFORM_STORE(SettingRule.address("platform.store")),
  /** The address of the platform's list of instances. */
  PLATFORM_MEMBERSHIP(SettingRule.address("platform.membership")),
  /** Timeout of calls to the table service. */
  PLATFORM_TIMEOUT(
      SettingRule.number("platform.timeoutMillis", "1000", 10, 60_000, "milliseconds")),
  /** Duration of the ownership lease. */
  LEASE(SettingRule.number("ownership.leaseMillis", "10000", 500, 600_000, "milliseconds")),
  /** Margin for clocks that run at different rates. */
  DRIFT(SettingRule.number("ownership.driftMarginMillis", "1000", 10, 60_000, "milliseconds")),
  /** Longest time for which ownership may be kept without contact to the store. */
  CUT_HORIZON(
      SettingRule.number(
          "ownership.cutHorizonMillis", "600000", 1_000, 86_400_000, "milliseconds")),
  /** Longest time for which an order may be in flight. */
  ORDER_LIFETIME(
      SettingRule.number("ownership.orderLifetimeMillis", "2000", 50, 60_000, "milliseconds")),
  /** Duration of the lease of a running task. */
  TASK_LEASE(SettingRule.number("tasks.leaseMillis", "30000", 1_000, 86_400_000, "milliseconds")),
  /** Minimum interval between two transactions. */
  BATCH_GAP(SettingRule.number("store.batchGapMillis", "25", 0, 10_000, "milliseconds")),
  /** Maximum number of open requests; further requests are refused. */
  MAX_QUEUED(SettingRule.number("limits.maxQueued", "4000", 1, 1_000_000, "requests")),
  /** Maximum duration of a graceful stop. */
  DRAIN(SettingRule.number("limits.drainMillis", "20000", 0, 3_600_000, "milliseconds")),
  /** Number of timeline entries kept in memory. */
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
