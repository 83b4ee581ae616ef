package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;

/**
 * What is stored of the starts of long-running tasks that may be in flight, and of ignored starts.
 * Without it the next leader assumes that such a start was sent just before its term began, so each
 * change of leaders would delay the task, and it would not know that orders are late.
 *
 * <p>A stored expiry covers all starts of its run. Therefore no start of that run is sent while the
 * expiry may be in the store. A task that waits gets a new run before it is started again; on a
 * worker that answers again, starts wait until the expiry is withdrawn.
 */
final class StoredStarts {

  /**
   * Time by which the latest ignored start may be later than the stored one before it is a reason
   * to write, in milliseconds: where many starts are ignored, each would cost a write.
   */
  private static final long IGNORED_UPDATE_MILLIS = 500;

  /**
   * The expiry of the starts of a run.
   *
   * @param expiry on this leader's steady clock
   * @param sender the worker to which this leader would send that run's start again, if any
   */
  private record Entry(StartExpiry expiry, Optional<WorkerId> sender) {}

  private Map<RunKey, Entry> stored = Map.of();
  private OptionalLong storedIgnored = OptionalLong.empty();

  /** The entries that the save in flight writes. */
  private Optional<Map<RunKey, Entry>> saving = Optional.empty();

  private OptionalLong savingIgnored = OptionalLong.empty();

  /** Takes over what earlier leaders stored. */
  void recover(Map<RunKey, StartExpiry> starts, OptionalLong ignoredStart) {
    stored =
        starts.entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey, start -> new Entry(start.getValue(), Optional.empty())));
    storedIgnored = ignoredStart;
  }

  /** Returns until when starts of a run, and of earlier ones of its task, may be carried out. */
  Optional<StartExpiry> expiry(RunKey run) {
    return Optional.ofNullable(stored.get(run)).map(Entry::expiry);
  }

  /** Returns the workers to which starts may not be sent again before an expiry is withdrawn. */
  Stream<WorkerId> workers() {
    return Stream.concat(Stream.of(stored), saving.stream())
        .flatMap(entries -> entries.values().stream())
        .flatMap(entry -> entry.sender().stream());
  }

  /** Returns whether what is stored is out of date. */
  boolean due(Term term) {
    Map<RunKey, Entry> next = entries(term);
    return ignoredDue(term)
        || next.entrySet().stream()
            .anyMatch(run -> !run.getValue().equals(stored.get(run.getKey())))
        || stored.values().stream()
            .flatMap(entry -> entry.sender().stream())
            .anyMatch(worker -> StoredLeaseEnds.reached(term, worker))
        || stored.keySet().stream().anyMatch(run -> over(term, run));
  }

  /**
   * Returns whether a run is over. Its number may be used again once its job has been removed and
   * submitted anew.
   */
  private static boolean over(Term term, RunKey run) {
    Task task = term.find(run.task());
    return task == null || task.run != run.run() || task.job.phase.terminal();
  }

  private boolean ignoredDue(Term term) {
    long stepMillis = term.ending ? 1 : IGNORED_UPDATE_MILLIS;
    OptionalLong latest = term.ignoredStarts.latestMillis(term.now.mono());
    return latest.isPresent()
        && (storedIgnored.isEmpty()
            || latest.getAsLong() >= storedIgnored.getAsLong() + stepMillis);
  }

  /** Begins a save of all expiries, which it returns. */
  Map<RunKey, StartExpiry> beginSave(Term term) {
    Map<RunKey, Entry> next = entries(term);
    saving = Optional.of(next);
    savingIgnored = term.ignoredStarts.latestMillis(term.now.mono());
    return next.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().expiry()));
  }

  /** Returns when the latest ignored start that the save in flight writes was sent. */
  OptionalLong savingIgnored() {
    return savingIgnored;
  }

  /** Records that the save is in the store. */
  void saved() {
    storedIgnored = saving.isPresent() ? savingIgnored : storedIgnored;
    stored = saving.orElse(stored);
    saving = Optional.empty();
  }

  /** Records that the store has refused the save. */
  void refused() {
    saving = Optional.empty();
  }

  /** Returns the expiries that hold: no start of their runs is sent before they are withdrawn. */
  private static Map<RunKey, Entry> entries(Term term) {
    Map<RunKey, Entry> entries = new HashMap<>();
    term.waitingWithStarts.removeIf(task -> !waits(task));
    term.waitingWithStarts.forEach(
        task ->
            task.startExpiry()
                .ifPresent(expiry -> entries.put(task.key(), new Entry(expiry, Optional.empty()))));
    StoredLeaseEnds.unreached(term, !term.ending)
        .flatMap(worker -> worker.placed.values().stream())
        .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
        .filter(task -> task.worker.identifierReusable())
        .filter(task -> task.order != Task.Order.UNSAVED && !task.job.phase.terminal())
        .forEach(
            task ->
                placedExpiry(term, task)
                    .ifPresent(expiry -> entries.put(task.key(), new Entry(expiry, sender(task)))));
    return entries;
  }

  private static boolean waits(Task task) {
    return task.phase == Task.Phase.WAITING
        && task.runStored()
        && !task.job.phase.terminal()
        && task.startExpiry().isPresent();
  }

  /**
   * Returns the expiry of a placed run's starts. While orders are known to be late the next leader
   * has to be informed as well that none is in flight.
   */
  private static Optional<StartExpiry> placedExpiry(Term term, Task task) {
    return task.startExpiry()
        .or(
            () ->
                term.ignoredStarts.latestMillis(term.now.mono()).isPresent()
                    ? Optional.of(new StartExpiry(task.observedMillis, task.observedMillis))
                    : Optional.empty());
  }

  private static Optional<WorkerId> sender(Task task) {
    boolean sends = task.sentByUs() || task.order != Task.Order.CONFIRMED;
    return Optional.of(task.worker.worker()).filter(worker -> sends);
  }
}
