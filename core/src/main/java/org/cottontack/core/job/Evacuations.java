package org.cottontack.core.job;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cottontack.core.id.DataCentreId;

/**
 * The data centres under evacuation by an operator. Their workers get no new runs, even when they
 * have free capacity. Present runs continue until they end. Long-running tasks stay too: if they
 * were moved, each of them would be absent for the time that it takes to start, and there might be
 * no capacity for it elsewhere.
 */
final class Evacuations {

  private final Map<DataCentreId, Long> sinceMillis = new TreeMap<>();

  /** Returns whether a data centre is under evacuation. */
  boolean contains(DataCentreId dataCentre) {
    return sinceMillis.containsKey(dataCentre);
  }

  /** Returns the data centres under evacuation. */
  Set<DataCentreId> all() {
    return Set.copyOf(sinceMillis.keySet());
  }

  /** Records that the evacuation of a data centre has become known. */
  void begin(DataCentreId dataCentre, long nowMillis) {
    sinceMillis.putIfAbsent(dataCentre, nowMillis);
  }

  /** Ends an evacuation and returns for how long it was known, in milliseconds. */
  long end(DataCentreId dataCentre, long nowMillis) {
    Long since = sinceMillis.remove(dataCentre);
    return since == null ? 0 : nowMillis - since;
  }

  /** Returns the number of workers and of their placed tasks in a data centre, for logs. */
  static String remaining(Collection<Worker> workers, DataCentreId dataCentre) {
    long workerCount = workers.stream().filter(worker -> worker.isIn(dataCentre)).count();
    long runs =
        workers.stream()
            .filter(worker -> worker.isIn(dataCentre))
            .mapToLong(worker -> worker.placed.size())
            .sum();
    long longRunning =
        workers.stream()
            .filter(worker -> worker.isIn(dataCentre))
            .flatMap(worker -> worker.placed.values().stream())
            .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
            .count();
    return "workers=%d runs=%d lasting=%d".formatted(workerCount, runs, longRunning);
  }
}
