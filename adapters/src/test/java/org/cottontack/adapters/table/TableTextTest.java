package org.cottontack.adapters.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cottontack.adapters.AdapterException;
import org.cottontack.core.table.TableCheck;
import org.cottontack.core.table.TableContent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link TableText}. */
public final class TableTextTest {

  private TableTextTest() {}

  /** The example tables of both users. */
  public static final class Examples {

    /** Returns the directories of the example tables. */
    @DataProvider(name = "tables")
    public Object[][] tables() {
      return new Object[][] {{"rilatek"}, {"exchange"}};
    }

    /** Every example is valid and has the same rows after writing and reading it. */
    @Test(dataProvider = "tables")
    public void exampleIsValidAndRoundTrips(String user) throws IOException {
      Path file = Path.of("../examples", user, "table.yaml");
      TableContent table = TableText.read(Files.readString(file));
      assertEquals(TableCheck.faults(table).toString(), "[]");
      TableContent again = TableText.read(TableText.write(table));
      assertEquals(again.changedRows(table).toString(), "[]");
      assertEquals(again.rows().size(), table.rows().size());
    }
  }

  /** Malformed tables. */
  public static final class Malformed {

    /** Returns malformed texts and the text that the message must contain. */
    @DataProvider(name = "bad")
    public Object[][] bad() {
      return new Object[][] {
        {"teams: []\nrows: [{name: a, kind: servce}]", "kind"},
        {"teams: []\nrows: [{name: a, kind: service, weigth: 3}]", "weigth"},
        {"teams: []\nrows: [{kind: service}]", "column name is missing"},
        {"rows: []", "teams and rows"},
        {"rows: [", "line"},
        {"teams: []\nrows: [{name: a, kind: batch, demand: {cpuMillis: many}}]", "cpuMillis"},
      };
    }

    /** The message names the location of the error. */
    @Test(dataProvider = "bad")
    public void messageNamesTheLocation(String text, String wanted) {
      AdapterException exception = expectThrows(AdapterException.class, () -> TableText.read(text));
      assertTrue(exception.getMessage().contains(wanted), exception.getMessage());
    }
  }
}
