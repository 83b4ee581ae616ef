package org.cottontack.daemon.settings;

import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.Map;
import org.cottontack.adapters.Address;
import org.cottontack.core.job.Capacity;

/** The checked settings of an entry instance for jobs. */
public final class JobSettings {

  /** Shortest time that a state stays readable: well over all retries of callers and the store. */
  private static final long LEAST_KEEP_MILLIS = 120_000;

  /** Decimal places from a unit to its thousandths. */
  private static final int TO_THOUSANDTHS = 3;

  /** Every setting, with its place in the file, its unit, its range and its default. */
  private enum Key implements SettingName {
    NAME(SettingRule.text("name", "name of the instance")),
    DATA_CENTRE(SettingRule.text("dataCentre", "name of the data centre")),
    LISTEN_CALLERS(SettingRule.address("listen.callers")),
    LISTEN_READINESS(SettingRule.address("listen.readiness")),
    LISTEN_METRICS(SettingRule.address("listen.metrics")),
    PLATFORM_STORE(SettingRule.address("platform.store")),
    KEEP(SettingRule.seconds("jobs.keepSeconds", "120", 0, 604_800)),
    GRACE(SettingRule.seconds("stop.graceSeconds", "6", 0, 3_600)),
    PROCESSOR_SHARE(SettingRule.decimal("capacity.processorShare", "1", 0, 1_000, "cores")),
    CORES(SettingRule.decimal("capacity.cores", "1", 0, 1_000, "cores")),
    LINK(SettingRule.decimal("capacity.linkMbps", "1000", 0, 1_000_000, "Mbit/s"));

    private final SettingRule rule;

    Key(SettingRule rule) {
      this.rule = rule;
    }

    @Override
    public SettingRule rule() {
      return rule;
    }
  }

  private final Map<Key, String> values;

  private JobSettings(Map<Key, String> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Loads a file.
   *
   * @throws SettingsException with every fault at once
   */
  public static JobSettings load(Path file) {
    return parse(SettingsLoader.read(file));
  }

  /**
   * Reads settings from text.
   *
   * @throws SettingsException with every fault at once
   */
  public static JobSettings parse(String text) {
    return new JobSettings(SettingsLoader.values(text, Key.class));
  }

  /** Returns the instance's name. */
  public String name() {
    return values.get(Key.NAME);
  }

  /** Returns where it is. */
  public String dataCentre() {
    return values.get(Key.DATA_CENTRE);
  }

  /** Returns where callers reach it. */
  public Address callers() {
    return Address.parse(values.get(Key.LISTEN_CALLERS));
  }

  /** Returns where the platform asks whether it takes new callers. */
  public Address readiness() {
    return Address.parse(values.get(Key.LISTEN_READINESS));
  }

  /** Returns where counters and histograms are served. */
  public Address metrics() {
    return Address.parse(values.get(Key.LISTEN_METRICS));
  }

  /** Returns the platform's store. */
  public Address store() {
    return Address.parse(values.get(Key.PLATFORM_STORE));
  }

  /** Returns how long the state of a job that ended stays readable, at least two minutes. */
  public long keepMillis() {
    return Math.max(LEAST_KEEP_MILLIS, millis(Key.KEEP));
  }

  /** Returns the time from the order to stop until the process is killed. */
  public long graceMillis() {
    return millis(Key.GRACE);
  }

  /** Returns what the instance has for leading, by its processor and its link. */
  public Capacity capacity() {
    BigDecimal processor = number(Key.PROCESSOR_SHARE).multiply(number(Key.CORES));
    return new Capacity(thousandths(processor), thousandths(number(Key.LINK)));
  }

  private long millis(Key key) {
    return thousandths(number(key));
  }

  private BigDecimal number(Key key) {
    return new BigDecimal(values.get(key));
  }

  private static long thousandths(BigDecimal number) {
    return number.movePointRight(TO_THOUSANDTHS).longValue();
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
