package org.cottontack.standin.experiment;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cottontack.adapters.Address;
import org.cottontack.core.task.Demand;
import org.cottontack.standin.StandIns;

/**
 * Compares the latency of requests through an entry instance with that of requests sent directly to
 * the endpoints, which take 5 ms each. The load is a share of the endpoints' capacity, by default a
 * half.
 */
final class PathExperiment {

  private static final int ENDPOINTS = 4;
  private static final int SLOTS = 8;
  private static final int SERVICE_MILLIS = 5;

  private PathExperiment() {}

  static Map<String, Object> run(Path workspace, double seconds, double load) {
    StandIns.Plan plan =
        new StandIns.Plan(
            List.of("dc"), 0, 0, ENDPOINTS, SLOTS, SERVICE_MILLIS, new Demand(1, 1, 0));
    double capacity = ENDPOINTS * SLOTS * 1_000.0 / SERVICE_MILLIS;
    double requestsPerSecond = capacity * load;
    try (ExperimentCluster cluster = new ExperimentCluster(workspace, plan, 1, 2)) {
      List<Address> endpoints =
          cluster.standIns().endpoints().values().stream().map(e -> e.address()).toList();
      OpenLoop loop = new OpenLoop(cluster.client());
      Address entry = cluster.daemons().get(0).callers();
      loop.run(requestsPerSecond, 5, i -> ExperimentCluster.requestSpec(entry, i));
      OpenLoop.Result direct =
          loop.run(requestsPerSecond, seconds, i -> DirectCall.to(endpoints, i));
      final int violationsOfDirect = cluster.standIns().ledger().report().violations().size();
      double cpuBefore = cluster.daemons().get(0).cpuSeconds();
      OpenLoop.Result through =
          loop.run(requestsPerSecond, seconds, i -> ExperimentCluster.requestSpec(entry, i));
      double cpu = cluster.daemons().get(0).cpuSeconds() - cpuBefore;
      Map<String, Object> figures = new LinkedHashMap<>();
      figures.put("experiment", "path");
      figures.put("requestsPerSecond", requestsPerSecond);
      figures.put("directP50Millis", direct.p50Millis());
      figures.put("directP99Millis", direct.p99Millis());
      figures.put("throughP50Millis", through.p50Millis());
      figures.put("throughP99Millis", through.p99Millis());
      figures.put("p99Ratio", through.p99Millis() / direct.p99Millis());
      figures.put("notAnswered", through.failed());
      figures.put("cpuMicrosPerRequest", cpu * 1e6 / (requestsPerSecond * seconds));
      figures.put(
          "violations",
          cluster.standIns().ledger().report().violations().size() - violationsOfDirect);
      return figures;
    }
  }
}
