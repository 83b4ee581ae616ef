package org.cottontack.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;

/** A real entry instance process; stopped, paused and killed by its process id. */
final class EntryProcess {

  /** Where output is kept: a run that failed is traced from it. */
  private static final Path LOGS = Path.of("target", "entry-logs");

  private final String dataCentre;
  private final Address store;
  private final int callers = FreePorts.next();
  private final int operators = FreePorts.next();
  private final int peers = FreePorts.next();
  private Process process;
  private Path log;

  EntryProcess(String dataCentre, Address store) {
    this.dataCentre = dataCentre;
    this.store = store;
    start();
  }

  /** Starts it, again at the same addresses when it ran before. */
  void start() {
    try {
      Path settings = Files.createTempFile("entry", ".yaml");
      settings.toFile().deleteOnExit();
      Files.writeString(settings, settings());
      log = newLog();
      process =
          new ProcessBuilder(
                  List.of(
                      Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                      "-Xmx96m",
                      "-XX:+UseSerialGC",
                      "-XX:TieredStopAtLevel=1",
                      "-cp",
                      System.getProperty("java.class.path"),
                      "org.cottontack.daemon.Main",
                      "run",
                      "--settings",
                      settings.toString()))
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
    } catch (IOException e) {
      throw new IllegalStateException("cannot start an entry instance", e);
    }
  }

  private static Path newLog() throws IOException {
    return Files.createTempFile(Files.createDirectories(LOGS), "entry-", ".log");
  }

  /**
   * Fails where the process has ended by itself. Waited for until a deadline, one that could not
   * start looks like one that is slow, and why it ended is never seen.
   */
  void checkAlive() {
    if (!alive()) {
      throw new AssertionError(
          "an entry process ended with code %d, its log is %s"
              .formatted(process.exitValue(), log.toAbsolutePath()));
    }
  }

  private String settings() {
    return TestFile.read("/entry.yaml")
        .formatted(dataCentre, callers, operators, peers, store, store);
  }

  Address callers() {
    return new Address("127.0.0.1", callers);
  }

  Address operators() {
    return new Address("127.0.0.1", operators);
  }

  /** Sends a signal such as STOP, CONT or KILL. */
  void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("cannot signal", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Asks it to stop gracefully and returns its exit code. */
  int stop() {
    process.destroy();
    try {
      return process.waitFor(60, TimeUnit.SECONDS) ? process.exitValue() : -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  void kill() {
    process.destroyForcibly();
  }
}
