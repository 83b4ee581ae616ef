package org.cottontack.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the messages and exit codes of {@link Main} without a running instance. */
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

  /** Commands that fail. */
  public static final class Errors {

    /** Returns command lines, their exit codes and the text that the message must contain. */
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

    /** The message is one line that names the error. */
    @Test(dataProvider = "lines")
    public void printsOneErrorLine(String line, int code, String wanted) {
      Outcome outcome = run(line);
      assertEquals(outcome.code(), code, outcome.err());
      assertEquals(outcome.err().lines().count(), 1, outcome.err());
      assertTrue(outcome.err().contains(wanted), outcome.err());
    }
  }

  /** Commands that succeed. */
  public static final class Success {

    /** A valid table is reported as good. */
    @Test
    public void acceptsValidTable() {
      Outcome outcome = run("table check ../examples/exchange/table.yaml");
      assertEquals(outcome.code(), 0);
      assertTrue(outcome.out().contains("good"));
    }

    /** The help lists the commands. */
    @Test
    public void printsHelp() {
      Outcome outcome = run("--help");
      assertEquals(outcome.code(), 0);
      assertTrue(outcome.out().contains("timeline"), outcome.out());
    }
  }
}
