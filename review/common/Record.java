import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with the time since the start. */
final class Record implements AutoCloseable {

  private static final long START_NANOS = System.nanoTime();

  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the milliseconds since this program started. */
  static long millis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", millis() / 1000.0, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
