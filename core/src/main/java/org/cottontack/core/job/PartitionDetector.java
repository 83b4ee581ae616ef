package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;
import org.cottontack.core.id.DataCentreId;

/**
 * Detects whether a leader is cut off from its workers. A data centre that is partitioned from the
 * others may still reach the store, so its leader keeps its lease although most workers get no new
 * work until the partition ends. An instance on the other side of the partition reaches more
 * workers.
 */
final class PartitionDetector {

  /**
   * Share of the registered workers above which silence means that the leader is cut off. It is
   * more than one half, so that neither of two sides of equal size counts as cut off.
   */
  private static final double CUT_OFF_SHARE = 0.6;

  private PartitionDetector() {}

  /** Returns whether all workers that answer are in one data centre and most workers are silent. */
  static boolean cutOff(Collection<Worker> workers) {
    List<Worker> registered = workers.stream().filter(worker -> worker.registered).toList();
    List<DataCentreId> answering =
        registered.stream()
            .filter(worker -> worker.everAnswered && !worker.silent)
            .map(worker -> worker.info.dataCentre())
            .distinct()
            .toList();
    long silent = registered.stream().filter(worker -> worker.silent).count();
    return answering.size() == 1 && silent > CUT_OFF_SHARE * registered.size();
  }

  /**
   * Returns whether enough workers of a data centre have answered for it to be on this leader's
   * side of a partition. An instance on the other side may still reach the store and request
   * leadership. If it got leadership, most workers would get no new work.
   */
  static boolean reaches(Collection<Worker> workers, DataCentreId dataCentre) {
    List<Worker> localWorkers =
        workers.stream()
            .filter(worker -> worker.registered && worker.info.dataCentre().equals(dataCentre))
            .toList();
    long answering =
        localWorkers.stream().filter(worker -> worker.everAnswered && !worker.silent).count();
    return answering >= (1 - CUT_OFF_SHARE) * localWorkers.size();
  }
}
