package org.cottontack.daemon.settings;

import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cottontack.adapters.Address;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.StoreLimits;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;

/** The validated settings of an entry instance for jobs. */
public final class JobSettings {

  /**
   * Shortest time for which the state of an ended job stays readable, in milliseconds. It is much
   * longer than all retries by callers and the store.
   */
  private static final long MIN_KEEP_MILLIS = 120_000;

  /** Number of decimal places by which a value is shifted to convert it to thousandths. */
  private static final int TO_THOUSANDTHS = 3;

  /** Longest time that a worker may take to stop or to resume a run, in milliseconds. */
  private static final long MAX_WORKER_MILLIS = 60_000;

  /** Smallest limit of the store for the content of a row, in bytes: a few tasks fit into it. */
  private static final long MIN_ROW_BYTES = 2_048;

  private static final long MAX_ROW_BYTES = 1_073_741_824;

  /** Environment variable with the limit of the store for the content of a row, in bytes. */
  private static final String ROW_BYTES_VARIABLE = "COTTONTACK_ROW_BYTES";

  /** All settings, each with its path in the file, its unit, its range and its default. */
  private enum Key implements SettingName {
    NAME(SettingRule.text("name", "name of the instance")),
    DATA_CENTRE(SettingRule.text("dataCentre", "name of the data centre")),
    LISTEN_CALLERS(SettingRule.address("listen.callers")),
    LISTEN_READINESS(SettingRule.address("listen.readiness")),
    LISTEN_METRICS(SettingRule.address("listen.metrics")),
    PLATFORM_STORE(SettingRule.address("platform.store")),
    ROW_BYTES(
        SettingRule.decimal(
            "platform.rowBytes",
            Integer.toString(StoreLimits.STANDARD.rowBytes()),
            MIN_ROW_BYTES,
            MAX_ROW_BYTES,
            "bytes")),
    KEEP(SettingRule.seconds("jobs.keepSeconds", "120", 0, 604_800)),
    GRACE(SettingRule.seconds("stop.graceSeconds", "6", 0, 3_600)),
    PROCESSOR_SHARE(SettingRule.decimal("capacity.processorShare", "1", 0, 1_000, "cores")),
    CORES(SettingRule.decimal("capacity.cores", "1", 0, 1_000, "cores")),
    LINK(SettingRule.decimal("capacity.linkMbps", "1000", 0, 1_000_000, "Mbit/s")),
    STOP(
        SettingRule.decimal(
            "workers.stopMillis",
            Long.toString(LoadControl.DEFAULT_STOP_MILLIS),
            0,
            MAX_WORKER_MILLIS,
            "milliseconds")),
    RESTORE(
        SettingRule.decimal(
            "workers.restoreMillis",
            Long.toString(LoadControl.DEFAULT_RESTORE_MILLIS),
            0,
            MAX_WORKER_MILLIS,
            "milliseconds")),
    ADMISSION(SettingRule.choice("loadControl.admission", LoadPart.Mode.AUTO)),
    WORKER_SCORES(SettingRule.choice("loadControl.workerScores", LoadPart.Mode.AUTO));

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
   * Loads a settings file. The limit of the store for a row may come from the environment.
   *
   * @throws SettingsException with all faults at once
   */
  public static JobSettings load(Path file) {
    return parse(SettingsLoader.read(file), System.getenv());
  }

  /**
   * Parses settings from text.
   *
   * @throws SettingsException with all faults at once
   */
  public static JobSettings parse(String text) {
    return parse(text, Map.of());
  }

  /**
   * Parses settings from text and environment variables. The text goes first; an empty variable
   * counts as none.
   *
   * @throws SettingsException with all faults at once
   */
  static JobSettings parse(String text, Map<String, String> environment) {
    Map<String, String> others =
        Optional.ofNullable(environment.get(ROW_BYTES_VARIABLE))
            .filter(value -> !value.isBlank())
            .map(value -> Map.of(Key.ROW_BYTES.rule().path(), value))
            .orElse(Map.of());
    return new JobSettings(SettingsLoader.values(text, others, Key.class));
  }

  /** Returns the instance's name. */
  public String name() {
    return values.get(Key.NAME);
  }

  /** Returns the instance's data centre. */
  public String dataCentre() {
    return values.get(Key.DATA_CENTRE);
  }

  /** Returns the address on which the instance serves callers. */
  public Address callers() {
    return Address.parse(values.get(Key.LISTEN_CALLERS));
  }

  /** Returns the address on which the platform checks whether the instance accepts new callers. */
  public Address readiness() {
    return Address.parse(values.get(Key.LISTEN_READINESS));
  }

  /** Returns the address on which metrics are served. */
  public Address metrics() {
    return Address.parse(values.get(Key.LISTEN_METRICS));
  }

  /** Returns the address of the platform's store. */
  public Address store() {
    return Address.parse(values.get(Key.PLATFORM_STORE));
  }

  /** Returns the largest content of a row of the platform's store, in bytes. */
  public int rowBytes() {
    return number(Key.ROW_BYTES).intValue();
  }

  /**
   * Returns how long the state of an ended job stays readable, in milliseconds; at least two
   * minutes.
   */
  public long keepMillis() {
    return Math.max(MIN_KEEP_MILLIS, millis(Key.KEEP));
  }

  /** Returns the time from the stop order until the process is killed, in milliseconds. */
  public long graceMillis() {
    return millis(Key.GRACE);
  }

  /**
   * Returns the instance's capacity as a leader, computed from its processor share and its link.
   */
  public Capacity capacity() {
    BigDecimal processor = number(Key.PROCESSOR_SHARE).multiply(number(Key.CORES));
    return new Capacity(thousandths(processor), thousandths(number(Key.LINK)));
  }

  /** Returns the load control of the deployment. */
  public LoadControl loadControl() {
    return LoadControl.of(
        Map.of(
            LoadPart.ADMISSION, mode(Key.ADMISSION),
            LoadPart.WORKER_SCORES, mode(Key.WORKER_SCORES)),
        number(Key.STOP).longValue(),
        number(Key.RESTORE).longValue());
  }

  private LoadPart.Mode mode(Key key) {
    return LoadPart.Mode.valueOf(values.get(key).toUpperCase(Locale.ROOT));
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
