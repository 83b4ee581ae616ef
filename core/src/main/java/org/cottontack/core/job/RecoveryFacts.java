package org.cottontack.core.job;

import java.util.Map;
import java.util.OptionalLong;

/**
 * What a leader stores of unreachable workers and of starts in doubt, because the next leader
 * cannot ask a worker about it. Times are on one clock, in milliseconds.
 *
 * @param leaseEnds when all leases of a worker have ended
 * @param starts for a run of a long-running task, until when its starts and those of earlier runs
 *     may be carried out. No start of that run is sent while this is stored.
 * @param ignoredStart when the latest start that was ignored was sent
 */
public record RecoveryFacts(
    Map<WorkerIncarnation, Long> leaseEnds,
    Map<RunKey, StartExpiry> starts,
    OptionalLong ignoredStart) {

  /** No facts. */
  public static final RecoveryFacts NONE =
      new RecoveryFacts(Map.of(), Map.of(), OptionalLong.empty());

  /** Keeps the maps immutable. */
  public RecoveryFacts {
    leaseEnds = Map.copyOf(leaseEnds);
    starts = Map.copyOf(starts);
  }

  /** Returns whether there are no facts. */
  public boolean isEmpty() {
    return equals(NONE);
  }
}
