package org.cottontack.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The command line without an instance: clear lines and exit codes. */
public final class MainTest {

  private MainTest() {}

  private record Outcome(int code, String out, String err) {}

  private static Outcome run(String line) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code =
        Main.run(
            line.split(" "),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new Outcome(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  /** What goes wrong. */
  public static final class Faults {

    /** Returns command lines, exit codes and what the one line must name. */
    @DataProvider(name = "lines")
    public Object[][] lines() {
      return new Object[][] {
        {"table check no-such-file.yaml", 3, "no-such-file.yaml"},
        {"table frobnicate", 2, "frobnicate"},
        {"table check", 2, "needs a FILE"},
        {"table apply ../examples/rilatek/table.yaml", 2, "--expected"},
        {"status --instance 127.0.0.1:1", 4, "127.0.0.1:1"},
        {"status --instance nowhere", 2, "host:port"},
        {"status --colour", 2, "--colour"},
        {"table check pom.xml", 1, "pom.xml"},
      };
    }

    /** One line names what is wrong. */
    @Test(dataProvider = "lines")
    public void oneClearLine(String line, int code, String wanted) {
      Outcome outcome = run(line);
      assertEquals(outcome.code(), code, outcome.err());
      assertEquals(outcome.err().lines().count(), 1, outcome.err());
      assertTrue(outcome.err().contains(wanted), outcome.err());
    }
  }

  /** What goes right. */
  public static final class Good {

    /** A good table is said to be good. */
    @Test
    public void goodTable() {
      Outcome outcome = run("table check ../examples/exchange/table.yaml");
      assertEquals(outcome.code(), 0);
      assertTrue(outcome.out().contains("good"));
    }

    /** Help names every command. */
    @Test
    public void help() {
      Outcome outcome = run("--help");
      assertEquals(outcome.code(), 0);
      assertTrue(outcome.out().contains("timeline"), outcome.out());
    }
  }
}
