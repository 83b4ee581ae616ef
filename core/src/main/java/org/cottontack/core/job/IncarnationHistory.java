package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cottontack.core.id.WorkerId;

/** What a leader keeps of each worker identifier over all lives that have it. */
final class IncarnationHistory {

  private record Last(WorkerIncarnation incarnation, int restarts) {}

  private final Map<WorkerId, Last> last = new HashMap<>();
  private final Map<WorkerId, Acknowledgements> acknowledgements = new HashMap<>();
  private final Map<WorkerId, LateLeases> lateLeases = new HashMap<>();

  /** Takes in which life a worker leads, and returns how often it has started again. */
  int restarts(WorkerIncarnation incarnation) {
    return last.merge(incarnation.worker(), new Last(incarnation, 0), IncarnationHistory::next)
        .restarts();
  }

  Acknowledgements acknowledgements(WorkerId id) {
    return acknowledgements.computeIfAbsent(id, key -> new Acknowledgements());
  }

  LateLeases lateLeases(WorkerId id) {
    return lateLeases.computeIfAbsent(id, key -> new LateLeases());
  }

  /**
   * Returns the lives of workers whose next ones may get acknowledgements that were meant for them.
   *
   * @param known whether a worker is there
   */
  Set<WorkerIncarnation> acknowledged(Predicate<WorkerId> known, long nowMillis) {
    return acknowledgements.entrySet().stream()
        .filter(entry -> known.test(entry.getKey()) || entry.getValue().inFlight(nowMillis))
        .flatMap(entry -> entry.getValue().acknowledgedLife().stream())
        .collect(Collectors.toSet());
  }

  private static Last next(Last before, Last now) {
    return before.incarnation().equals(now.incarnation())
        ? before
        : new Last(now.incarnation(), before.restarts() + 1);
  }
}
