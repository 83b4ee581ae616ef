package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects the evidence against tasks that may crash their workers, and fails their jobs once it
 * proves that they do. A verdict waits until the loss of other workers would be known and is
 * reviewed then, because the first worker of a lost rack may be back before another is missed.
 */
final class CrashEvidence {

  /**
   * Time from a crash until other workers that were lost with it count as silent, in milliseconds:
   * the longest wait of a poll and the time until it counts as unanswered.
   */
  private static final long REVIEW_MILLIS = 2_000;

  /** Maximum number of losses that are kept until a next incarnation may explain them. */
  private static final int MAX_UNEXPLAINED = 1_000;

  /**
   * Evidence of this leader's term.
   *
   * @param worker the incarnation that crashed
   * @param run the run on probation there
   * @param loss how the crash is known
   * @param weight what it counts if no other worker was lost with that one
   * @param counted what it was last counted as
   */
  private record Piece(
      WorkerIncarnation worker, RunKey run, WorkerLoss loss, int weight, int counted) {

    @Override
    public String toString() {
      return "#%d@%s:%s:%d".formatted(run.run(), worker.worker(), loss, counted);
    }
  }

  /**
   * A run that may have crashed its worker.
   *
   * @param task its task
   * @param key the run
   * @param weight the evidence against it if the worker has crashed
   */
  private record LostRun(Task task, RunKey key, int weight) {}

  /**
   * A loss that may turn out to be a crash.
   *
   * @param worker the incarnation that does not answer
   * @param runs the runs that may be its cause
   */
  private record Unexplained(WorkerIncarnation worker, List<LostRun> runs) {}

  private final Term term;
  private final Lifecycle lifecycle;
  private final Map<Task, List<Piece>> pieces = new HashMap<>();

  /** The tasks that are proven to crash their workers unless a review shows another cause. */
  private final Set<Task> underReview = new LinkedHashSet<>();

  /** By address, which the next incarnation of a crashed worker has as well. */
  private final Map<String, Unexplained> unexplained = new LruMap<>(MAX_UNEXPLAINED);

  CrashEvidence(Term term, Lifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
  }

  /** Records the loss of a worker with the runs that were placed there. */
  void lost(Worker worker, List<Task> runs, WorkerLoss loss) {
    if (loss.mayBeExplainedLater()) {
      List<LostRun> lostRuns =
          CrashBlame.possibleCauses(runs).stream()
              .map(task -> new LostRun(task, task.key(), weight(worker, runs, task)))
              .toList();
      unexplained.put(worker.info.address(), new Unexplained(worker.incarnation(), lostRuns));
    }
    if (loss.crashed()) {
      runs.forEach(
          task -> add(task, worker.incarnation(), task.key(), loss, weight(worker, runs, task)));
    }
    if (loss.maybeCrashed()) {
      CrashBlame.lost(runs);
    }
    runs.forEach(this::reviewIfProven);
  }

  /**
   * Handles a worker's registry entry. If a worker that was lost had its address and was another
   * incarnation, that one has crashed.
   */
  void listed(WorkerInfo info) {
    Unexplained lost = unexplained.remove(info.address());
    if (lost == null || lost.worker().equals(info.incarnation())) {
      return;
    }
    for (LostRun run : lost.runs()) {
      Task task = run.task();
      if (!isOpen(task)) {
        continue;
      }
      if (CrashBlame.suspect(task) && term.lostContacts.contains(lost.worker())) {
        add(task, lost.worker(), run.key(), WorkerLoss.REPLACED, run.weight());
      }
      term.dirty.add(task.job);
      reviewIfProven(task);
    }
  }

  /** Records that a run ended by itself without being done. */
  void endedUndone(Task task) {
    CrashBlame.endedUndone(task);
    reviewIfProven(task);
  }

  private void reviewIfProven(Task task) {
    if (CrashBlame.proven(task) && isOpen(task)) {
      underReview.add(task);
    }
  }

  /** Ends the reviews that are due. */
  void tick() {
    pieces.keySet().removeIf(task -> task.blamed == 0 || !isOpen(task));
    List<Task> due = underReview.stream().filter(this::isDue).toList();
    underReview.removeAll(due);
    due.forEach(this::conclude);
  }

  private boolean isDue(Task task) {
    return pieces.getOrDefault(task, List.of()).stream()
        .mapToLong(piece -> term.lostContacts.untilMillis(piece.worker()))
        .allMatch(until -> term.now.mono() - until >= REVIEW_MILLIS);
  }

  private boolean isOpen(Task task) {
    return task == term.find(task.name) && !task.job.phase.terminal();
  }

  private void conclude(Task task) {
    if (!isOpen(task)) {
      return;
    }
    List<Piece> seen = pieces.getOrDefault(task, List.of());
    List<Piece> reviewed = seen.stream().map(this::counted).toList();
    task.blamed += sum(reviewed) - sum(seen);
    pieces.put(task, new ArrayList<>(reviewed));
    term.dirty.add(task.job);
    if (CrashBlame.proven(task)) {
      lifecycle.abandon(task, reviewed.toString());
    } else if (task.phase == Task.Phase.WAITING) {
      term.logEvent("task.crashesCleared", task.name, "seen=" + reviewed);
      term.jobsToPlace.add(task.job);
      term.capacityChanged = true;
    }
  }

  private static int sum(List<Piece> all) {
    return all.stream().mapToInt(Piece::counted).sum();
  }

  /** Returns a piece of evidence as it counts in the light of what else is lost by now. */
  private Piece counted(Piece piece) {
    if (!term.lostContacts.contains(piece.worker())) {
      return piece;
    }
    long lostTogether = term.lostContacts.lostTogetherWith(piece.worker());
    int counted = CrashBlame.reduced(piece.weight(), lostTogether);
    return new Piece(piece.worker(), piece.run(), piece.loss(), piece.weight(), counted);
  }

  private void add(Task task, WorkerIncarnation worker, RunKey run, WorkerLoss loss, int weight) {
    if (weight > 0) {
      Piece piece = counted(new Piece(worker, run, loss, weight, 0));
      task.blamed += piece.counted();
      pieces.computeIfAbsent(task, any -> new ArrayList<>()).add(piece);
    }
  }

  /** Returns the evidence against a run if the loss of its worker is a crash. */
  private int weight(Worker worker, List<Task> runs, Task task) {
    long startedMillis = task.sentByUs() ? task.sentMillis() : task.observedMillis;
    double lossProbability =
        term.lostContacts.lossProbability(
            worker.incarnation(), task, startedMillis, term.workers.size(), term.now.mono());
    return CrashBlame.evidence(task, runs, lossProbability);
  }
}
