package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;
import org.cottontack.core.id.DataCentreId;

/**
 * Judges whether a leader is cut off from the workers that it leads. The load: a data centre is
 * partitioned from the others and still reaches the store, so its leader keeps its lease while most
 * workers get nothing new until the cut heals. An instance on the other side reaches more of them.
 */
final class PartitionDetector {

  /** Share of the registered workers that must be silent: more than one of two equal sides. */
  private static final double CUT_OFF_SHARE = 0.6;

  private PartitionDetector() {}

  /** Returns whether all workers that answer are in one data centre, and most do not answer. */
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
   * side of a partition. An instance there that is on the other side reaches the store and could
   * ask for the lead; given to it, most workers would get nothing new.
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
