package org.cottontack.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all settings are validated before anything starts. */
public final class SettingsLoaderTest {

  private SettingsLoaderTest() {}

  /** The example files of both users. */
  public static final class Examples {

    /** Returns the example files. */
    @DataProvider(name = "files")
    public Object[][] files() {
      return new Object[][] {
        {"rilatek/sofia-1.yaml", "sofia-1"},
        {"rilatek/sofia-2.yaml", "sofia-2"},
        {"rilatek/sofia-3.yaml", "sofia-3"},
        {"rilatek/sofia-4.yaml", "sofia-4"},
        {"exchange/port-of-spain-1.yaml", "port-of-spain-1"},
        {"exchange/port-of-spain-2.yaml", "port-of-spain-2"},
        {"exchange/port-of-spain-3.yaml", "port-of-spain-3"},
      };
    }

    /** Every example file must be valid. */
    @Test(dataProvider = "files")
    public void exampleIsGood(String file, String dataCentre) {
      DaemonSettings settings = SettingsLoader.load(Path.of("../examples", file));
      assertEquals(settings.dataCentre().value(), dataCentre);
    }
  }

  /** Invalid files. */
  public static final class Faults {

    private static List<String> faultsOf(String text) {
      return expectThrows(SettingsException.class, () -> SettingsLoader.parse(text)).faults();
    }

    /** All faults must be listed at once, each with its path and the expected form. */
    @Test
    public void allFaultsAtOnce() {
      List<String> faults =
          faultsOf(
              "dataCentre: x\n"
                  + "listen: {callers: here, operators: '127.0.0.1:1', peers: '127.0.0.1:2'}\n"
                  + "platform: {store: '127.0.0.1:3'}\n"
                  + "ownership: {leaseMilis: 5, driftMarginMillis: soon, leaseMillis: 3}\n");
      assertEquals(
          faults,
          List.of(
              "ownership.leaseMilis: no such setting; did you mean ownership.leaseMillis?",
              "listen.callers: 'here' is not an address; write host:port, such as 127.0.0.1:7001",
              "platform.membership: is missing and has no default",
              "ownership.leaseMillis: 3 is not between 500 and 600000 milliseconds",
              "ownership.driftMarginMillis: 'soon' is not a whole number of milliseconds"));
    }

    /** A YAML syntax error must be reported with its line and column. */
    @Test
    public void notYaml() {
      assertEquals(faultsOf("a: [").get(0).substring(0, 5), "line ");
    }

    /** A missing file must be reported as one clear message. */
    @Test
    public void missingFile() {
      assertThrows(
          SettingsException.class, () -> SettingsLoader.load(Path.of("no-such-file.yaml")));
    }
  }
}
