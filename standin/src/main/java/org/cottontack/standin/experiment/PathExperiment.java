package org.cottontack.standin.experiment;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cottontack.adapters.Address;
import org.cottontack.core.task.Demand;
import org.cottontack.standin.World;

/** What the way through an entry instance adds to a 5 ms service at half load. */
final class PathExperiment {

  private static final int ENDPOINTS = 4;
  private static final int SLOTS = 8;
  private static final int SERVICE_MILLIS = 5;

  private PathExperiment() {}

  static Map<String, Object> run(Path workspace, double seconds, double load) {
    World.Plan plan =
        new World.Plan(List.of("dc"), 0, 0, ENDPOINTS, SLOTS, SERVICE_MILLIS, new Demand(1, 1, 0));
    double capacity = ENDPOINTS * SLOTS * 1_000.0 / SERVICE_MILLIS;
    double half = capacity * load;
    try (Bench bench = new Bench(workspace, plan, 1, 2)) {
      List<Address> endpoints =
          bench.world().endpoints().values().stream().map(e -> e.address()).toList();
      OpenLoop loop = new OpenLoop(bench.client());
      Address entry = bench.daemons().get(0).callers();
      loop.run(half, 5, i -> Bench.requestSpec(entry, i));
      OpenLoop.Result direct = loop.run(half, seconds, i -> DirectCall.to(endpoints, i));
      final int brokenByDirect = bench.world().ledger().report().violations().size();
      double before = bench.daemons().get(0).cpuSeconds();
      OpenLoop.Result through = loop.run(half, seconds, i -> Bench.requestSpec(entry, i));
      double cpu = bench.daemons().get(0).cpuSeconds() - before;
      Map<String, Object> figures = new LinkedHashMap<>();
      figures.put("experiment", "path");
      figures.put("requestsPerSecond", half);
      figures.put("directP50Millis", direct.p50Millis());
      figures.put("directP99Millis", direct.p99Millis());
      figures.put("throughP50Millis", through.p50Millis());
      figures.put("throughP99Millis", through.p99Millis());
      figures.put("p99Ratio", through.p99Millis() / direct.p99Millis());
      figures.put("notAnswered", through.other());
      figures.put("cpuMicrosPerRequest", cpu * 1e6 / (half * seconds));
      figures.put(
          "violations", bench.world().ledger().report().violations().size() - brokenByDirect);
      return figures;
    }
  }
}
