package org.cottontack.standin.experiment;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.task.Demand;
import org.cottontack.standin.StandIns;
import org.cottontack.standin.ledger.Ledger;

/** Measures the time from submission to start on a worker at a steady rate of submissions. */
final class UrgentExperiment {

  private static final double STARTS_PER_SECOND = 11;
  private static final long TASK_MILLIS = 500;

  private UrgentExperiment() {}

  static Map<String, Object> run(Path workspace, double seconds) {
    StandIns.Plan plan =
        new StandIns.Plan(List.of("dc"), 0, 94, 4, 8, 5, new Demand(32_000, 125_000, 1));
    try (ExperimentCluster cluster = new ExperimentCluster(workspace, plan, 3, 4)) {
      int total = (int) Math.round(STARTS_PER_SECOND * seconds);
      long[] submitted = new long[total];
      long start = System.nanoTime();
      for (int i = 0; i < total; i++) {
        long planned = start + Math.round(i / STARTS_PER_SECOND * 1e9);
        while (System.nanoTime() < planned) {
          LockSupport.parkNanos(planned - System.nanoTime());
        }
        submitted[i] = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        String body =
            "{\"id\":\"u-%d\",\"row\":\"job\",\"input\":{\"millis\":%d}}".formatted(i, TASK_MILLIS);
        cluster
            .client()
            .call(
                HttpClient.Spec.post(
                    cluster.daemons().get(i % 3).callers(), "/v1/tasks", Payload.of(body), 10_000),
                result -> {});
      }
      ExperimentCluster.waitUntil(
          () -> cluster.standIns().ledger().report().taskRuns().size() >= total);
      return figures(cluster, submitted, total);
    }
  }

  private static Map<String, Object> figures(
      ExperimentCluster cluster, long[] submitted, int total) {
    Histogram millis = new Histogram(60_000, 3);
    Ledger.Report report = cluster.standIns().ledger().report();
    report
        .taskRuns()
        .forEach(
            run -> {
              int number = Integer.parseInt(run.task().substring(2));
              millis.recordValue(Math.max(0, run.startedAt() - submitted[number]));
            });
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("experiment", "urgent");
    figures.put("startsPerSecond", STARTS_PER_SECOND);
    figures.put("tasks", total);
    figures.put("p50Millis", millis.getValueAtPercentile(50));
    figures.put("p99Millis", millis.getValueAtPercentile(99));
    figures.put("maxMillis", millis.getMaxValue());
    figures.put("violations", report.violations().size());
    return figures;
  }
}
