package org.cottontack.standin;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;

/** A real entry instance process; stopped, paused and killed by its process id. */
final class EntryProcess {

  private final String dataCentre;
  private final Address store;
  private final int callers = FreePorts.next();
  private final int operators = FreePorts.next();
  private final int peers = FreePorts.next();
  private Process process;

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
      File log = File.createTempFile("entry", ".log");
      log.deleteOnExit();
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
              .redirectOutput(log)
              .start();
    } catch (IOException e) {
      throw new IllegalStateException("cannot start an entry instance", e);
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

  void kill() {
    process.destroyForcibly();
  }
}
