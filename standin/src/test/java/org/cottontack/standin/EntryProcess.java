package org.cottontack.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;

/** Process of an entry instance, which is stopped, paused and killed by its process id. */
final class EntryProcess {

  /** Directory of the output of each process, kept to analyse failed test runs. */
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

  /** Starts the process. A restart uses the same addresses as before. */
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
   * Fails if the process has ended by itself. Without this check, a process that could not start
   * looks like a slow one until the timeout, and the reason why it ended is not reported.
   */
  void checkAlive() {
    if (!alive()) {
      throw new AssertionError(
          "entry process exited with code %d, log file: %s"
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

  /** Sends a signal such as STOP, CONT or KILL to the process. */
  void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("cannot send a signal to the entry process", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops the process gracefully and returns its exit code, or -1 after 60 s without an exit. */
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
