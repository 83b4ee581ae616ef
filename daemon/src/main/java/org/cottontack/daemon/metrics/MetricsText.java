package org.cottontack.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Writes metrics in the Prometheus text format. */
public final class MetricsText {

  private static final double NANOS_PER_SECOND = 1e9;

  private MetricsText() {}

  /** Returns all metrics, one sample per line. */
  public static String of(MetricRegistry registry) {
    return registry.getMetrics().entrySet().stream()
        .flatMap(entry -> lines(entry.getKey(), entry.getValue()))
        .collect(Collectors.joining("\n", "", "\n"));
  }

  private static Stream<String> lines(String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      return Stream.of(line(name, "", gauge.getValue()));
    }
    if (metric instanceof Counter counter) {
      return Stream.of(line(name + "_total", "", counter.getCount()));
    }
    return metric instanceof Timer timer ? timer(name, timer) : Stream.empty();
  }

  private static Stream<String> timer(String base, Timer timer) {
    String name = base + "_seconds";
    Snapshot snapshot = timer.getSnapshot();
    return Stream.concat(
        Stream.of(line(name + "_count", "", timer.getCount())),
        Stream.of(0.5, 0.99, 0.999)
            .map(
                q ->
                    line(
                        name,
                        "{quantile=\"" + q + "\"}",
                        snapshot.getValue(q) / NANOS_PER_SECOND)));
  }

  private static String line(String name, String labels, Object value) {
    return "cottontack_" + name.replace('.', '_').replace('-', '_') + labels + " " + value;
  }
}
