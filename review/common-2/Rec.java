import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the milliseconds since the start. */
final class Rec {

  private static final long START_NANOS = System.nanoTime();
  private static PrintWriter out;

  private Rec() {}

  static synchronized void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static long millis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  static synchronized void log(String line) {
    String text = String.format("%7d %s", millis(), line);
    if (out != null) {
      out.println(text);
    }
    if (Boolean.getBoolean("echo")) {
      System.out.println(text);
    }
  }

  /** Sleeps until a time since the start. */
  static void until(long millis) throws InterruptedException {
    long left = millis - millis();
    if (left > 0) {
      Thread.sleep(left);
    }
  }
}
