package org.cottontack.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.load.LoadPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the settings of an entry instance for jobs, whose values are filled in by the platform.
 */
public class JobSettingsTest {

  private static final String GOOD =
      String.join(
          "\n",
          "name: one",
          "dataCentre: dc",
          "listen:",
          "  callers: 127.0.0.1:1",
          "  readiness: 127.0.0.1:2",
          "  metrics: 127.0.0.1:3",
          "platform:",
          "  store: 127.0.0.1:4",
          "");

  private static JobSettings with(String grace, String keep) {
    return JobSettings.parse(
        GOOD + "stop:\n  graceSeconds: " + grace + "\njobs:\n  keepSeconds: " + keep + "\n");
  }

  /** Values in the forms in which the platform provides them. */
  public static class PlatformValues {

    /** Returns grace period and retention time as text, and both in milliseconds. */
    @DataProvider
    public Object[][] values() {
      return new Object[][] {
        {"6", "120", 6_000L, 120_000L},
        {"6.5", "300.25", 6_500L, 300_250L},
        {"", "", 6_000L, 120_000L},
        {"2", "30", 2_000L, 120_000L},
      };
    }

    /**
     * The platform provides these values as whole numbers, as fractions, or not at all. A process
     * that rejected a fraction would not start, and no caller would be served on that installation.
     */
    @Test(dataProvider = "values")
    public void acceptsWholeNumbersFractionsAndDefaults(
        String grace, String keep, long graceMillis, long keepMillis) {
      JobSettings settings = with(grace, keep);
      assertEquals(settings.graceMillis(), graceMillis);
      assertEquals(settings.keepMillis(), keepMillis);
    }
  }

  /** The limit of the store for a row. */
  public static class RowLimits {

    /** Texts of the variable, and the limits in bytes. */
    @DataProvider
    public Object[][] variables() {
      return new Object[][] {{"", 65_536}, {"131072", 131_072}, {"32768.0", 32_768}};
    }

    /** Guards against rows that are larger, or smaller, than the store of the deployment allows. */
    @Test(dataProvider = "variables")
    public void comeFromTheEnvironment(String variable, int bytes) {
      JobSettings settings = JobSettings.parse(GOOD, Map.of("COTTONTACK_ROW_BYTES", variable));
      assertEquals(settings.rowBytes(), bytes);
    }

    @Test
    public void comeFromTheFileFirst() {
      JobSettings settings =
          JobSettings.parse(GOOD + "  rowBytes: 16384\n", Map.of("COTTONTACK_ROW_BYTES", "131072"));
      assertEquals(settings.rowBytes(), 16_384);
    }
  }

  /** The capacity of an instance as a leader. */
  public static class Capacities {

    /** Returns processor share, cores and link as text, and the resulting capacity. */
    @DataProvider
    public Object[][] values() {
      return new Object[][] {
        {"0.36", "1", "10.0", new Capacity(360, 10_000)},
        {"0.75", "2", "200", new Capacity(1_500, 200_000)},
        {"", "", "", new Capacity(1_000, 1_000_000)},
      };
    }

    /**
     * If the platform provides no values, all instances must have equal capacity, so that none
     * yields leadership to another.
     */
    @Test(dataProvider = "values")
    public void computesCapacityFromShareCoresAndLink(
        String share, String cores, String link, Capacity capacity) {
      String size =
          "capacity:\n  processorShare: %s\n  cores: %s\n  linkMbps: %s\n"
              .formatted(share, cores, link);
      assertEquals(JobSettings.parse(GOOD + size).capacity(), capacity);
    }
  }

  /** Invalid files. */
  public static class Faults {

    @Test
    public void listsAllAtOnce() {
      List<String> faults =
          expectThrows(SettingsException.class, () -> JobSettings.parse("nam: one")).faults();
      assertEquals(faults.get(0), "nam: no such setting; did you mean name?");
      assertEquals(faults.size(), 7);
    }

    @Test
    public void namesWhatIsWrong() {
      List<String> faults =
          expectThrows(SettingsException.class, () -> with("soon", "-1")).faults();
      assertEquals(
          faults,
          List.of(
              "jobs.keepSeconds: -1 is not between 0 and 604800 seconds",
              "stop.graceSeconds: 'soon' is not a number of seconds"));
    }
  }

  /** The load control of a deployment. */
  public static class LoadControls {

    /** Returns settings and the parts of load control that they put in force. */
    @DataProvider
    public Object[][] values() {
      return new Object[][] {
        {"", Set.of()},
        {"workers:\n  stopMillis: 400\n", Set.of()},
        {"workers:\n  stopMillis: 900\n", Set.of(LoadPart.values())},
        {"workers:\n  stopMillis: 900.5\n", Set.of(LoadPart.values())},
        {"workers:\n  stopMillis:\n  restoreMillis:\n", Set.of()},
        {
          "workers:\n  stopMillis: 900\nloadControl:\n  admission: disabled\n",
          Set.of(LoadPart.WORKER_SCORES)
        },
        {"loadControl:\n  admission: enabled\n", Set.of(LoadPart.ADMISSION)},
      };
    }

    /** A part that is in force unasked would change the decisions of other deployments. */
    @Test(dataProvider = "values")
    public void areInForceWhereSettingsAskForThem(String text, Set<LoadPart> parts) {
      assertEquals(JobSettings.parse(GOOD + text).loadControl().parts(), parts);
    }

    /** Returns settings that are out of range, and the fault that is reported. */
    @DataProvider
    public Object[][] faults() {
      return new Object[][] {
        {
          "workers:\n  stopMillis: 60001\n",
          "workers.stopMillis: 60001 is not between 0 and 60000 milliseconds"
        },
        {
          "loadControl:\n  admission: maybe\n",
          "loadControl.admission: 'maybe' is not one of auto|enabled|disabled"
        },
      };
    }

    /** An operator who mistypes a value must read which one, and what is allowed. */
    @Test(dataProvider = "faults")
    public void nameFieldValueAndAllowedRange(String text, String fault) {
      SettingsException e =
          expectThrows(SettingsException.class, () -> JobSettings.parse(GOOD + text));
      assertTrue(e.getMessage().contains(fault), e.getMessage());
    }
  }
}
