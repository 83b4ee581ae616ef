package org.cottontack.standin.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.ownership.Rendezvous;

/**
 * Measures which share of the resources changes its owner when a member joins, how evenly resources
 * are shared, and how long one ownership decision takes.
 */
final class SharingExperiment {

  private static final int RESOURCES = 4_700;
  private static final List<Integer> MEMBERS = List.of(7, 9, 30, 60);

  private SharingExperiment() {}

  static Map<String, Object> run() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("experiment", "sharing");
    for (int members : MEMBERS) {
      figures.put("members" + members, sharing(members));
    }
    return figures;
  }

  private static Map<String, Object> sharing(int count) {
    List<InstanceId> before = members(count);
    List<InstanceId> after = members(count + 1);
    Map<InstanceId, Integer> shares = new LinkedHashMap<>();
    int moved = 0;
    long start = System.nanoTime();
    for (int i = 0; i < RESOURCES; i++) {
      InstanceId owner = Rendezvous.owner("worker/" + i, before).orElseThrow();
      shares.merge(owner, 1, Integer::sum);
      moved += owner.equals(Rendezvous.owner("worker/" + i, after).orElseThrow()) ? 0 : 1;
    }
    double nanos = (double) (System.nanoTime() - start) / (2 * RESOURCES);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("movedShare", moved / (double) RESOURCES);
    figures.put("idealMovedShare", 1.0 / (count + 1));
    figures.put(
        "largestShareOverMean",
        shares.values().stream().mapToInt(Integer::intValue).max().orElse(0)
            * (double) count
            / RESOURCES);
    figures.put("nanosEach", nanos);
    return figures;
  }

  private static List<InstanceId> members(int count) {
    List<InstanceId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new InstanceId("10.0.0." + i + ":8082-" + Integer.toHexString(i * 7_919)));
    }
    return members;
  }
}
