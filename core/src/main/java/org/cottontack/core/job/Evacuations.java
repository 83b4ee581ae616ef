package org.cottontack.core.job;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cottontack.core.id.DataCentreId;

/**
 * The data centres that an operator empties. Their workers get no new runs, whatever room they
 * have; what runs there goes on to its end, and lasting tasks stay: moved, each of them would be
 * away from its users for the time that it takes to start, and may find no room elsewhere.
 */
final class Evacuations {

  private final Map<DataCentreId, Long> sinceMillis = new TreeMap<>();

  /** Returns whether a data centre is being emptied. */
  boolean contains(DataCentreId dataCentre) {
    return sinceMillis.containsKey(dataCentre);
  }

  /** Returns the data centres that are being emptied. */
  Set<DataCentreId> all() {
    return Set.copyOf(sinceMillis.keySet());
  }

  /** Takes in that the evacuation of a data centre has become known. */
  void begin(DataCentreId dataCentre, long nowMillis) {
    sinceMillis.putIfAbsent(dataCentre, nowMillis);
  }

  /** Ends an evacuation and returns for how long it was known, in milliseconds. */
  long end(DataCentreId dataCentre, long nowMillis) {
    Long since = sinceMillis.remove(dataCentre);
    return since == null ? 0 : nowMillis - since;
  }

  /** Returns what still runs in a data centre, for logs. */
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
