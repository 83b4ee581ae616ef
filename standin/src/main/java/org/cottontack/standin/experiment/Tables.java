package org.cottontack.standin.experiment;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds tables with a given number of rows for experiments. */
final class Tables {

  private Tables() {}

  static String text(int rows) {
    String otherRows =
        IntStream.range(0, Math.max(0, rows - 2))
            .mapToObj(i -> service("filler-" + i))
            .collect(Collectors.joining());
    return "teams: [{name: team, maxCpuMillis: 100000000, maxInFlight: 100000}]\nrows:\n"
        + service("check")
        + "  - {name: job, kind: batch, team: team, weight: 10, idempotent: true,"
        + " deadlineMillis: 36000000, maxInFlight: 100000,"
        + " demand: {cpuMillis: 1000, memoryMb: 100, accelerators: 0}}\n"
        + otherRows;
  }

  private static String service(String name) {
    return "  - {name: "
        + name
        + ", kind: service, team: team, weight: 10, idempotent: true,"
        + " targetMillis: 50, deadlineMillis: 5000, maxInFlight: 100000}\n";
  }
}
