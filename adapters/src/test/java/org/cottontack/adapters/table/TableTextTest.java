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

/** The operators' table as text. */
public final class TableTextTest {

  private TableTextTest() {}

  /** Tables of both users. */
  public static final class Examples {

    /** Returns the example tables. */
    @DataProvider(name = "tables")
    public Object[][] tables() {
      return new Object[][] {{"rilatek"}, {"exchange"}};
    }

    /** Every example is good, and reads back as it was written. */
    @Test(dataProvider = "tables")
    public void exampleIsGood(String user) throws IOException {
      Path file = Path.of("../examples", user, "table.yaml");
      TableContent table = TableText.read(Files.readString(file));
      assertEquals(TableCheck.faults(table).toString(), "[]");
      TableContent again = TableText.read(TableText.write(table));
      assertEquals(again.changedRows(table).toString(), "[]");
      assertEquals(again.rows().size(), table.rows().size());
    }
  }

  /** Bad tables. */
  public static final class Faults {

    /** Returns bad texts and what the message must name. */
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

    /** The message names the place. */
    @Test(dataProvider = "bad")
    public void faultNamesItsPlace(String text, String wanted) {
      AdapterException fault = expectThrows(AdapterException.class, () -> TableText.read(text));
      assertTrue(fault.getMessage().contains(wanted), fault.getMessage());
    }
  }
}
