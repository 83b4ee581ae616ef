package org.cottontack.standin.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cottontack.adapters.Address;
import org.cottontack.standin.FreePorts;

/** Process of an entry instance started for an experiment, with its processor time. */
final class DaemonProcess implements AutoCloseable {

  private static final double TICKS_PER_SECOND = 100;
  private static final int USER_TICKS = 13;
  private static final int SYSTEM_TICKS = 14;

  private final Process process;
  private final Address callers;
  private final Address operators;

  DaemonProcess(Path workspace, String dataCentre, Address store) {
    callers = new Address("127.0.0.1", FreePorts.next());
    operators = new Address("127.0.0.1", FreePorts.next());
    try {
      Path settings = Files.createTempFile("experiment", ".yaml");
      settings.toFile().deleteOnExit();
      Files.writeString(settings, settings(dataCentre, store));
      process =
          new ProcessBuilder(
                  List.of(
                      workspace.resolve("bin/cottontack").toString(),
                      "run",
                      "--settings",
                      settings.toString()))
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .start();
    } catch (IOException e) {
      throw new IllegalStateException("cannot start bin/cottontack", e);
    }
  }

  private String settings(String dataCentre, Address store) {
    return String.join(
        "\n",
        "dataCentre: " + dataCentre,
        "listen:",
        "  callers: " + callers,
        "  operators: " + operators,
        "  peers: 127.0.0.1:" + FreePorts.next(),
        "platform:",
        "  store: " + store,
        "  membership: " + store,
        "");
  }

  Address callers() {
    return callers;
  }

  Address operators() {
    return operators;
  }

  /** Returns the user and system processor time used so far, in seconds. */
  double cpuSeconds() {
    String stat = read("/proc/" + process.pid() + "/stat");
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks = Long.parseLong(fields[USER_TICKS - 2]) + Long.parseLong(fields[SYSTEM_TICKS - 2]);
    return ticks / TICKS_PER_SECOND;
  }

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new IllegalStateException("cannot read " + file, e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
