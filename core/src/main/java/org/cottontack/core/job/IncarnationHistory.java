package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cottontack.core.id.WorkerId;

/**
 * The state that a leader keeps for each worker identifier, across all incarnations with that
 * identifier.
 */
final class IncarnationHistory {

  private record Last(WorkerIncarnation incarnation, int restarts) {}

  private final Map<WorkerId, Last> last = new HashMap<>();
  private final Map<WorkerId, Acknowledgements> acknowledgements = new HashMap<>();
  private final Map<WorkerId, LateLeases> lateLeases = new HashMap<>();

  /** Records a worker's current incarnation and returns how often the worker has restarted. */
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
   * Returns the incarnations whose acknowledgements may reach the next incarnation of their worker.
   *
   * @param known whether the leader currently has a worker with this identifier
   */
  Set<WorkerIncarnation> acknowledged(Predicate<WorkerId> known, long nowMillis) {
    return acknowledgements.entrySet().stream()
        .filter(entry -> known.test(entry.getKey()) || entry.getValue().inFlight(nowMillis))
        .flatMap(entry -> entry.getValue().acknowledgedIncarnation().stream())
        .collect(Collectors.toSet());
  }

  private static Last next(Last before, Last now) {
    return before.incarnation().equals(now.incarnation())
        ? before
        : new Last(now.incarnation(), before.restarts() + 1);
  }
}
