package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cottontack.core.id.WorkerId;

/** What a leader keeps of each worker identifier over all lives that have it. */
final class IncarnationHistory {

  private record Last(WorkerIncarnation life, int restarts) {}

  private final Map<WorkerId, Last> last = new HashMap<>();
  private final Map<WorkerId, Acknowledgements> acknowledgements = new HashMap<>();
  private final Map<WorkerId, LateLeases> lateLeases = new HashMap<>();

  /** Takes in which life a worker leads, and returns how often it has started again. */
  int restarts(WorkerIncarnation life) {
    return last.merge(life.worker(), new Last(life, 0), IncarnationHistory::next).restarts();
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
        .flatMap(entry -> entry.getValue().acknowledgedIncarnation().stream())
        .collect(Collectors.toSet());
  }

  private static Last next(Last before, Last now) {
    return before.life().equals(now.life()) ? before : new Last(now.life(), before.restarts() + 1);
  }
}
