package org.cottontack.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;

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
   * How long an end is kept after it has passed, in milliseconds. Until the new places of the tasks
   * are stored, the next leader finds them on the lost worker.
   */
  private static final long KEPT_MILLIS = LateStart.LATEST_MILLIS;

  /**
   * An end of leases.
   *
   * @param bounds the end on this leader's steady clock
   * @param known when it was computed or read
   */
  private record End(LeaseEndBounds bounds, Moment known) {

    /** Returns until when this leader waits for it. */
    long millis() {
      return bounds.latestMillis();
    }

    /**
     * Returns the latest time until which an order may extend leases, on the steady clock as it
     * shows now. Time for which this instance was suspended is missing on that clock, but has
     * passed for the worker and in the store.
     */
    long limitMillis(Moment now) {
      return now.mono() + bounds.earliestMillis() - known.mono() - now.longestSince(known);
    }
  }

  private final StoredStarts starts = new StoredStarts();
  private Map<WorkerIncarnation, End> stored = Map.of();

  /** The ends that the save in flight writes. */
  private Optional<Map<WorkerIncarnation, End>> saving = Optional.empty();

  /** Takes over the ends that earlier leaders stored. */
  void recover(Map<WorkerIncarnation, LeaseEndBounds> ends, Moment now) {
    stored =
        ends.entrySet().stream()
            .collect(Collectors.toMap(Map.Entry::getKey, entry -> new End(entry.getValue(), now)));
  }

  /** Takes over what earlier leaders stored of starts in doubt and of ignored ones. */
  void recoverStarts(Map<RunKey, StartExpiry> expiries, OptionalLong ignoredStart) {
    starts.recover(expiries, ignoredStart);
  }

  /** Returns the stored expiry of the starts of a run that an earlier leader placed. */
  Optional<StartExpiry> startExpiry(RunKey run) {
    return starts.expiry(run);
  }

  /** Returns the stored end of an incarnation's leases; empty if there is none. */
  OptionalLong endMillis(WorkerIncarnation incarnation) {
    return Stream.ofNullable(stored.get(incarnation)).mapToLong(End::millis).findFirst();
  }

  /**
   * Returns the latest time until which an order may extend leases of any incarnation of a worker.
   * Until the end is withdrawn, the next leader takes it for that of runs which have since been
   * found on a later incarnation.
   */
  long limitMillis(WorkerId worker, Moment now) {
    return ends(worker).mapToLong(end -> end.limitMillis(now)).reduce(Long.MAX_VALUE, Math::min);
  }

  /**
   * Returns whether an end of a worker's leases, or the expiry of a start that this leader may send
   * to it again, may be in the store.
   */
  boolean contains(WorkerId worker) {
    return ends(worker).findAny().isPresent() || starts.workers().anyMatch(worker::equals);
  }

  private Stream<End> ends(WorkerId worker) {
    return Stream.concat(Stream.of(stored), saving.stream())
        .flatMap(ends -> ends.entrySet().stream())
        .filter(entry -> entry.getKey().worker().equals(worker))
        .map(Map.Entry::getValue);
  }

  /**
   * Returns whether the next leader would know the ends of the leases of all workers with runs that
   * this leader does not reach.
   */
  boolean complete(Term term) {
    return unreached(term, false).allMatch(worker -> isStored(term, worker));
  }

  /** Returns whether all that may be stored when the term ends is stored. */
  boolean allStored(Term term) {
    return !starts.due(term)
        && unreached(term, false)
            .filter(worker -> storable(term, worker))
            .allMatch(worker -> isStored(term, worker));
  }

  private boolean isStored(Term term, Worker worker) {
    End end = stored.get(worker.incarnation());
    return end != null && end.millis() == computedEndMillis(term, worker);
  }

  /**
   * Returns all that is to be written, if what is in the store is out of date: an end is missing or
   * has become later, or a worker answers again, or there is news of starts in doubt. Ends that
   * have passed are no reason to write.
   */
  Optional<RecoveryFacts> beginSave(Term term) {
    Map<WorkerIncarnation, End> next = kept(term);
    boolean withdrawn =
        stored.keySet().stream()
            .anyMatch(
                incarnation ->
                    !next.containsKey(incarnation) && reached(term, incarnation.worker()));
    List<Worker> missing =
        unreached(term, !term.ending)
            .filter(worker -> storable(term, worker) && !isStored(term, worker))
            .toList();
    if (missing.isEmpty() && !withdrawn && !starts.due(term)) {
      return Optional.empty();
    }
    missing.forEach(
        worker ->
            next.put(
                worker.incarnation(),
                new End(LeaseEndBounds.exactly(computedEndMillis(term, worker)), term.now)));
    saving = Optional.of(Map.copyOf(next));
    Map<WorkerIncarnation, Long> ends =
        next.entrySet().stream()
            .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().millis()));
    Map<RunKey, StartExpiry> expiries = starts.beginSave(term);
    return Optional.of(new RecoveryFacts(ends, expiries, starts.savingIgnored()));
  }

  /**
   * Records that the save is in the store.
   *
   * @return the workers whose leases may be extended, and starts be sent, again
   */
  Set<WorkerId> saved() {
    final Set<WorkerId> before = workers();
    stored = saving.orElse(stored);
    saving = Optional.empty();
    starts.saved();
    before.removeAll(workers());
    return before;
  }

  /** Records that the store has refused the save. */
  void refused() {
    saving = Optional.empty();
    starts.refused();
  }

  private Set<WorkerId> workers() {
    return Stream.concat(stored.keySet().stream().map(WorkerIncarnation::worker), starts.workers())
        .collect(Collectors.toCollection(HashSet::new));
  }

  /** Returns the stored ends that are still of use: their workers have not answered since. */
  private Map<WorkerIncarnation, End> kept(Term term) {
    Map<WorkerIncarnation, End> kept = new HashMap<>(stored);
    kept.entrySet()
        .removeIf(
            entry ->
                reached(term, entry.getKey().worker())
                    || term.now.mono() > entry.getValue().millis() + KEPT_MILLIS);
    return kept;
  }

  /**
   * Returns the workers with runs that this leader does not reach, or that may have left before the
   * next leader reaches them.
   *
   * @param awaitsAnswers whether a worker whose first poll is in flight may be reachable. Otherwise
   *     it counts as unreachable: this leader has given it no lease.
   */
  static Stream<Worker> unreached(Term term, boolean awaitsAnswers) {
    return term.workers.values().stream()
        .filter(worker -> !worker.placed.isEmpty())
        .filter(
            worker ->
                worker.silent
                    || mayLeave(term, worker)
                    || (!worker.everAnswered && !(awaitsAnswers && worker.info.reachable())));
  }

  /**
   * Returns whether a worker may leave before the next leader has reached it. A leader whose term
   * ends extends no leases any more, so it knows when the last one ends although the worker still
   * answers.
   */
  private static boolean mayLeave(Term term, Worker worker) {
    return term.ending && (worker.info.draining() || !worker.registered);
  }

  /**
   * Returns whether the end of a worker's leases may be stored. A start of this leader that is
   * still in flight may begin its run on the next incarnation of the worker, whose clock lets the
   * lease that it brings last for longer.
   */
  private static boolean storable(Term term, Worker worker) {
    return worker.placed.values().stream()
        .noneMatch(task -> task.sentByUs() && task.pinned(term.now.mono()));
  }

  /**
   * Returns when the leases of a worker have ended and its long-running tasks are no longer pinned
   * to it.
   */
  private static long computedEndMillis(Term term, Worker worker) {
    return worker.placed.values().stream()
        .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
        .flatMapToLong(task -> task.pinnedForMillis(term.now.mono()).stream())
        .map(millis -> term.now.mono() + millis)
        .reduce(worker.lastLeaseEndMillis(), Math::max);
  }

  /** Returns whether the present incarnation of a worker answers this leader. */
  static boolean reached(Term term, WorkerId id) {
    return Optional.ofNullable(term.workers.get(id))
        .filter(worker -> worker.everAnswered && !worker.silent && !mayLeave(term, worker))
        .isPresent();
  }
}
