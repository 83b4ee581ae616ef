package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The ends of the leases of unreachable workers, which are kept in the store. The next leader
 * cannot ask such a worker how long its runs hold a lease. Without a stored end it has to assume
 * that the last leader renewed the lease until its term ended, so each change of leaders would
 * delay the tasks of a lost worker.
 *
 * <p>A stored end has to be true whichever leader reads it. Therefore no order extends the leases
 * of a worker past its end while that may be in the store. Once the worker answers, its end is
 * withdrawn first.
 */
final class StoredLeaseEnds {

  /**
   * Time for the first answers to a new leader, in milliseconds. If ends were stored before that,
   * those of all workers would have to be withdrawn before their leases can be renewed.
   */
  private static final long FIRST_ANSWER_MILLIS = 500;

  /**
   * How long an end is kept after it has passed, in milliseconds. Until the new places of the tasks
   * are stored, the next leader finds them on the lost worker.
   */
  private static final long KEPT_MILLIS = LateStart.LATEST_MILLIS;

  private Map<WorkerIncarnation, Long> stored = Map.of();

  /** The ends that the save in flight writes. */
  private Optional<Map<WorkerIncarnation, Long>> saving = Optional.empty();

  /** Takes over the ends that earlier leaders stored, on this leader's steady clock. */
  void recover(Map<WorkerIncarnation, Long> ends) {
    stored = Map.copyOf(ends);
  }

  /** Returns the latest time until which an order may extend the leases of a worker. */
  long limitMillis(WorkerIncarnation worker) {
    long savedLimit = stored.getOrDefault(worker, Long.MAX_VALUE);
    long savingLimit = saving.map(ends -> ends.get(worker)).orElse(Long.MAX_VALUE);
    return Math.min(savedLimit, savingLimit);
  }

  /** Returns whether an end of a worker's leases may be in the store. */
  boolean contains(WorkerIncarnation worker) {
    return stored.containsKey(worker)
        || saving.filter(ends -> ends.containsKey(worker)).isPresent();
  }

  /**
   * Returns whether the next leader would know the ends of the leases of all workers with runs that
   * this leader does not reach.
   */
  boolean complete(Term term) {
    return containsAll(unreached(term, 0));
  }

  private boolean containsAll(Map<WorkerIncarnation, Long> ends) {
    return stored.entrySet().containsAll(ends.entrySet());
  }

  /**
   * Returns all ends to write, if those in the store are out of date: an end is missing or has
   * become later, or a worker answers again. Ends that have passed are no reason to write.
   */
  Optional<Map<WorkerIncarnation, Long>> beginSave(Term term) {
    Map<WorkerIncarnation, Long> kept = kept(term);
    boolean withdrawn =
        stored.keySet().stream()
            .anyMatch(incarnation -> !kept.containsKey(incarnation) && reached(term, incarnation));
    Map<WorkerIncarnation, Long> unreached = unreached(term, term.ending ? 0 : FIRST_ANSWER_MILLIS);
    if (containsAll(unreached) && !withdrawn) {
      return Optional.empty();
    }
    kept.putAll(unreached);
    saving = Optional.of(Map.copyOf(kept));
    return saving;
  }

  /**
   * Records that the save is in the store.
   *
   * @return the incarnations whose leases may be extended again
   */
  Set<WorkerIncarnation> saved() {
    Map<WorkerIncarnation, Long> before = stored;
    stored = saving.orElse(stored);
    saving = Optional.empty();
    return before.keySet().stream()
        .filter(incarnation -> !stored.containsKey(incarnation))
        .collect(Collectors.toSet());
  }

  /** Returns the stored ends that are still of use: their workers have not answered since. */
  private Map<WorkerIncarnation, Long> kept(Term term) {
    Map<WorkerIncarnation, Long> kept = new HashMap<>(stored);
    kept.entrySet()
        .removeIf(
            entry ->
                reached(term, entry.getKey()) || term.now.mono() > entry.getValue() + KEPT_MILLIS);
    return kept;
  }

  /**
   * Returns the ends of the leases of workers with runs that this leader does not reach.
   *
   * @param firstAnswerMillis age of the term until which a worker without an answer may be
   *     reachable
   */
  private static Map<WorkerIncarnation, Long> unreached(Term term, long firstAnswerMillis) {
    boolean firstAnswersDue = term.now.mono() - term.startMillis >= firstAnswerMillis;
    return term.workers.values().stream()
        .filter(worker -> !worker.placed.isEmpty())
        .filter(worker -> worker.silent || (!worker.everAnswered && firstAnswersDue))
        .collect(Collectors.toMap(Worker::incarnation, worker -> endMillis(term, worker)));
  }

  /**
   * Returns when the leases of a worker have ended and its long-running tasks are no longer pinned
   * to it.
   */
  private static long endMillis(Term term, Worker worker) {
    return worker.placed.values().stream()
        .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
        .flatMapToLong(task -> task.pinnedForMillis(term.now.mono()).stream())
        .map(millis -> term.now.mono() + millis)
        .reduce(worker.lastLeaseEndMillis(), Math::max);
  }

  private static boolean reached(Term term, WorkerIncarnation incarnation) {
    return term.worker(incarnation)
        .filter(worker -> worker.everAnswered && !worker.silent)
        .isPresent();
  }
}
