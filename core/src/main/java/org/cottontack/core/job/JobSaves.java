package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Chooses the rows of progress that the next transaction writes, within the limits of the store. A
 * job is saved in one transaction where its changed rows fit. Otherwise they are written as new
 * rows, over several transactions that also save other jobs, and the last one puts them in force.
 */
final class JobSaves {

  /** A save of all progress of a job, with the starts that wait for it. */
  private record Save(Job job, ProgressRows.Change change, List<RunKey> starts) {}

  /** A save that takes several transactions, with the rows of those that are not stored yet. */
  private record LargeSave(Save save, Deque<Map<ProgressRowId, String>> rest) {

    boolean isOf(Job job) {
      return save.job() == job;
    }
  }

  private final Term term;
  private final RefusedSaves refusals = new RefusedSaves();
  private final List<Save> saving = new ArrayList<>();
  private Optional<LargeSave> large = Optional.empty();
  private boolean savingLarge;
  private boolean apart;
  private final Set<ProgressRowId> leftOver = new LinkedHashSet<>();
  private Set<ProgressRowId> removing = Set.of();

  JobSaves(Term term) {
    this.term = term;
  }

  /** Begins a transaction and returns its rows; none if there is nothing to save. */
  SaveBatch begin() {
    SaveBatch batch = new SaveBatch(term.timing.saveLimits());
    large
        .map(LargeSave::save)
        .map(Save::job)
        .filter(refusals::isApart)
        .or(() -> refusals.due(term.dirty, term.now.mono()))
        .ifPresent(job -> beginApart(job, batch));
    apart = !batch.isEmpty();
    if (!apart) {
      addLarge(batch);
      List.copyOf(term.dirty).stream()
          .filter(job -> !refusals.isApart(job) && !isLarge(job))
          .limit(term.timing.jobsPerSave())
          .takeWhile(job -> beginJob(job, batch))
          .forEach(job -> {});
      leftOver.stream().takeWhile(batch::addRemoval).forEach(row -> {});
    }
    removing = Set.copyOf(batch.removals());
    leftOver.removeAll(removing);
    return batch;
  }

  private void beginApart(Job job, SaveBatch batch) {
    if (isLarge(job)) {
      addLarge(batch);
    } else {
      beginJob(job, batch);
    }
  }

  /** Adds the rows of a job, and returns whether there may be room for those of another one. */
  private boolean beginJob(Job job, SaveBatch batch) {
    ProgressRows.Change change = job.rows.change(job, term.timing.saveLimits());
    if (batch.add(change.writes())) {
      saving.add(take(job, change));
      return true;
    }
    if (SaveBatch.fitAlone(change.writes(), term.timing.saveLimits())) {
      return false;
    }
    if (large.isEmpty()) {
      Save save = take(job, job.rows.withNewRows(job, change));
      large = Optional.of(new LargeSave(save, transactions(save)));
      addLarge(batch);
    }
    return true;
  }

  private Save take(Job job, ProgressRows.Change change) {
    term.dirty.remove(job);
    job.unsavedCompletions.beginSave();
    List<RunKey> starts =
        job.tasks()
            .filter(t -> t.phase == Task.Phase.PLACED && t.order == Task.Order.UNSAVED)
            .map(Task::key)
            .toList();
    return new Save(job, change, starts);
  }

  /** Returns the rows of a large save by transaction, the main row in the last one. */
  private Deque<Map<ProgressRowId, String>> transactions(Save save) {
    Deque<Map<ProgressRowId, String>> all = new ArrayDeque<>();
    // Half of each transaction is left to other jobs.
    StoreLimits limits = term.timing.saveLimits().half();
    SaveBatch batch = new SaveBatch(limits);
    for (Map.Entry<ProgressRowId, String> row : save.change().writes().entrySet()) {
      Map<ProgressRowId, String> single = Map.of(row.getKey(), row.getValue());
      if (!row.getKey().isMain() && !batch.add(single)) {
        all.add(batch.writes());
        batch = new SaveBatch(limits);
        batch.add(single);
      }
    }
    all.add(batch.writes());
    all.add(Map.of(ProgressRowId.main(save.job().spec.id()), save.change().main()));
    return all;
  }

  private void addLarge(SaveBatch batch) {
    savingLarge = large.filter(next -> batch.add(next.rest().peek())).isPresent();
  }

  /** Returns whether a save of a job that takes several transactions has not ended. */
  boolean isLarge(Job job) {
    return large.filter(save -> save.isOf(job)).isPresent();
  }

  /** Returns whether this transaction is only for one job, because it may be refused. */
  boolean apart() {
    return apart;
  }

  /** Returns the lowest numbers of the completions that this transaction does not store. */
  Stream<Map.Entry<WorkerIncarnation, Long>> unsavedCompletions() {
    Stream<Map.Entry<WorkerIncarnation, Long>> ofLarge =
        large.filter(save -> !savingLarge || save.rest().size() > 1).stream()
            .flatMap(save -> save.save().job().unsavedCompletions.saving());
    return Stream.concat(
        ofLarge, term.dirty.stream().flatMap(job -> job.unsavedCompletions.waiting()));
  }

  /**
   * Records that the transaction is stored.
   *
   * @return the starts whose placements are stored now
   */
  List<RunKey> saved() {
    List<Save> ended = new ArrayList<>(saving);
    if (savingLarge) {
      LargeSave save = large.orElseThrow();
      save.rest().remove();
      if (save.rest().isEmpty()) {
        ended.add(save.save());
        large = Optional.empty();
      }
    }
    ended.forEach(this::saved);
    clear();
    return ended.stream().flatMap(save -> save.starts().stream()).toList();
  }

  private void saved(Save save) {
    Job job = save.job();
    refusals.saved(job);
    job.unsavedCompletions.saved();
    job.rows.stored(save.change());
    leftOver.addAll(job.rows.takeLeftOver());
  }

  /**
   * Records that the store refused the transaction for its content: nothing of it is stored.
   *
   * @param withSharedRows whether it had rows that belong to no job
   */
  void refused(boolean withSharedRows) {
    Set<Job> jobs = new HashSet<>();
    saving.forEach(save -> jobs.add(save.job()));
    if (savingLarge) {
      Save save = large.orElseThrow().save();
      save.job().rows.abandoned(save.change());
      jobs.add(save.job());
      large = Optional.empty();
    }
    if (withSharedRows) {
      refusals.refusedSharedRows(term.now.mono());
      term.logEvent("save.refused", "shared rows", "jobs=" + jobs.size());
    }
    if (apart) {
      jobs.forEach(this::refusedAlone);
    } else {
      refusals.refusedTogether(jobs, term.now.mono());
      // Removals that were refused on their own are given up: the next leader finds those rows.
      leftOver.addAll(jobs.isEmpty() ? Set.of() : removing);
    }
    jobs.forEach(job -> job.unsavedCompletions.refused());
    term.dirty.addAll(jobs);
    clear();
  }

  private void refusedAlone(Job job) {
    long pause = refusals.refusedAlone(job, term.now.mono());
    Map<ProgressRowId, String> rows = job.rows.change(job, term.timing.saveLimits()).writes();
    int largest = rows.values().stream().mapToInt(ProgressText::bytes).max().orElse(0);
    String detail =
        "rows=%d largestBytes=%d limitBytes=%d retryMillis=%d"
            .formatted(rows.size(), largest, term.timing.saveLimits().rowBytes(), pause);
    term.logEvent("save.refused", job.spec.id(), detail);
  }

  private void clear() {
    saving.clear();
    savingLarge = false;
    removing = Set.of();
  }

  /** Returns whether rows that belong to no job may be saved with this transaction. */
  boolean admitsSharedRows() {
    return !apart && refusals.admitsSharedRows(term.now.mono());
  }

  /** Returns whether no job has progress that is not saved. */
  boolean allSaved() {
    return saving.isEmpty() && large.isEmpty() && term.dirty.isEmpty();
  }

  /** Removes rows that an earlier leader left over. */
  void addLeftOver(Set<ProgressRowId> rows) {
    rows.stream()
        .filter(row -> !term.jobs.containsKey(row.job()) || !inForce(row))
        .forEach(leftOver::add);
  }

  private boolean inForce(ProgressRowId row) {
    return term.jobs.get(row.job()).rows.inForce(row.part());
  }
}
