package org.cottontack.standin.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cottontack.core.task.Demand;
import org.cottontack.standin.World;

/** What control costs an entry instance at rest, at several sizes of one data centre. */
final class ScaleExperiment {

  private static final long HOUR_MILLIS = 3_600_000;
  private static final long SETTLE_SECONDS = 12;

  private ScaleExperiment() {}

  /**
   * One size.
   *
   * @param entries entry instances
   * @param workers workers
   * @param endpoints endpoints
   * @param tasks running tasks
   * @param rows rows of the table
   */
  private record Size(int entries, int workers, int endpoints, int tasks, int rows) {}

  private static final List<Size> SIZES =
      List.of(
          new Size(2, 10, 4, 0, 4),
          new Size(2, 94, 4, 0, 4),
          new Size(2, 94, 4, 400, 4),
          new Size(2, 94, 4, 820, 4),
          new Size(2, 10, 4, 0, 270),
          new Size(6, 10, 4, 0, 4),
          new Size(6, 94, 100, 820, 270));

  static Map<String, Object> run(Path workspace, double seconds) {
    List<Map<String, Object>> points = new ArrayList<>();
    for (Size size : SIZES) {
      Map<String, Object> point = measure(workspace, size, seconds);
      points.add(point);
      System.out.println(point);
    }
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("experiment", "scale");
    figures.put("points", points);
    return figures;
  }

  private static Map<String, Object> measure(Path workspace, Size size, double seconds) {
    World.Plan plan =
        new World.Plan(
            List.of("dc"),
            0,
            size.workers(),
            size.endpoints(),
            8,
            5,
            new Demand(32_000, 125_000, 1));
    try (Bench bench = new Bench(workspace, plan, size.entries(), size.rows())) {
      for (int i = 0; i < size.tasks(); i++) {
        bench.submit(bench.daemons().get(i % size.entries()), "task-" + i, HOUR_MILLIS);
      }
      Bench.until(() -> bench.world().ledger().report().taskRuns().size() >= size.tasks());
      pause(SETTLE_SECONDS);
      return steady(bench, size, seconds);
    }
  }

  /** What had been used at one moment, by all entry instances together. */
  private record Sample(long reads, long writes, long bytes, double cpuSeconds) {

    static Sample of(Bench bench) {
      Map<String, Long> store = bench.world().platform().counts();
      return new Sample(
          store.get("scans"), store.get("commits"), DaemonProcess.loopbackBytes(), cpu(bench));
    }
  }

  private static Map<String, Object> steady(Bench bench, Size size, double seconds) {
    final double each = seconds * size.entries();
    final Sample before = Sample.of(bench);
    pause(Math.round(seconds));
    final Sample after = Sample.of(bench);
    Map<String, Object> point = new LinkedHashMap<>();
    point.put("entries", size.entries());
    point.put("workers", size.workers());
    point.put("endpoints", size.endpoints());
    point.put("tasks", size.tasks());
    point.put("rows", size.rows());
    point.put("cpuPercentEach", round(100 * (after.cpuSeconds - before.cpuSeconds) / each));
    point.put(
        "residentMbEach",
        round(bench.daemons().stream().mapToDouble(DaemonProcess::residentMb).average().orElse(0)));
    point.put("kilobytesPerSecondEach", round((after.bytes - before.bytes) / each / 1_000));
    point.put("storeReadsPerSecondEach", round((after.reads - before.reads) / each));
    point.put("storeWritesPerSecondEach", round((after.writes - before.writes) / each));
    return point;
  }

  private static double cpu(Bench bench) {
    return bench.daemons().stream().mapToDouble(DaemonProcess::cpuSeconds).sum();
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }

  private static void pause(long seconds) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }
}
