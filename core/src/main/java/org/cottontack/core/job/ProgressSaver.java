package org.cottontack.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Saves progress, one transaction at a time. A start order is sent after its placement is saved, a
 * repeated one after the possible duplicate is saved, and completions are acknowledged after they
 * are saved.
 */
final class ProgressSaver {

  private static final long NOT_DEFERRED = Long.MAX_VALUE;

  private final Term term;
  private final Orders orders;
  private final LearnedText learned;
  private final Map<WorkerIncarnation, Long> savingCompletions = new LinkedHashMap<>();
  private final JobSaves jobSaves;
  private boolean savingSharedRows;
  private boolean saving;
  private long learnedMillis;
  private Set<WorkerIncarnation> savedSuppressing = Set.of();
  private Map<WorkerIncarnation, Long> savedDeferred = Map.of();

  /**
   * Incarnations with acknowledged completions that the last text was meant to include; {@link
   * #storedIncarnations} has those that it does include.
   */
  private Set<WorkerIncarnation> incarnationsToStore = Set.of();

  private Set<WorkerIncarnation> storedIncarnations = Set.of();
  private final Set<String> cutLogged = new HashSet<>();

  ProgressSaver(Term term, Orders orders, LearnedText learned) {
    this.term = term;
    this.orders = orders;
    this.learned = learned;
    this.jobSaves = new JobSaves(term);
  }

  void save() {
    if (saving) {
      return;
    }
    final SaveBatch rows = jobSaves.begin();
    collectCompletions();
    savingCompletions.keySet().forEach(term::acknowledging);
    // An incarnation that did not fit into the text is tried again only when a text is due.
    Set<WorkerIncarnation> written = learnedDue() ? storedIncarnations : incarnationsToStore;
    term.incarnationsUnsaved |=
        savingCompletions.keySet().stream()
            .anyMatch(
                incarnation -> incarnation.identifierReusable() && !written.contains(incarnation));
    Optional<RecoveryFacts> facts = factsIfDue();
    if (!rows.isEmpty() || incarnationsDue() || facts.isPresent()) {
      send(rows, learnedIfDue(), facts);
    } else if (!savingCompletions.isEmpty()) {
      saved();
    }
  }

  private void send(SaveBatch rows, String text, Optional<RecoveryFacts> facts) {
    saving = true;
    savingSharedRows = !text.isEmpty() || facts.isPresent();
    term.effects.add(new JobEffect.SaveProgress(rows.writes(), rows.removals(), text, facts));
  }

  /**
   * Collects the completions that may be acknowledged once the next transaction is stored: those
   * before the first one that changed a job which this transaction does not save.
   */
  private void collectCompletions() {
    Map<WorkerIncarnation, Long> unsaved = new HashMap<>();
    jobSaves
        .unsavedCompletions()
        .forEach(entry -> unsaved.merge(entry.getKey(), entry.getValue(), Math::min));
    for (Worker worker : term.workers.values()) {
      long limit = unsaved.getOrDefault(worker.incarnation(), Long.MAX_VALUE) - 1;
      long number = Math.min(limit, worker.lastAcknowledgeableCompletion(term.now.mono()));
      if (number > worker.lastAcknowledgedCompletion) {
        savingCompletions.put(worker.incarnation(), number);
      }
    }
  }

  /**
   * Saves what the next leader cannot learn from a worker that leaves meanwhile: the progress that
   * is not saved yet, the ends of leases of unreachable workers, and the starts in doubt.
   */
  void saveBeforeEnd() {
    if (saving) {
      return;
    }
    SaveBatch rows = jobSaves.begin();
    Optional<RecoveryFacts> unsaved = factsIfDue();
    if (!rows.isEmpty() || unsaved.isPresent()) {
      send(rows, rows.isEmpty() ? "" : learnedIfDue(), unsaved);
    }
  }

  /** Returns whether all progress is saved. */
  boolean allSaved() {
    return !saving && jobSaves.allSaved();
  }

  /** Removes rows of progress that an earlier leader left over. */
  void removeLeftOver(Set<ProgressRowId> rows) {
    jobSaves.addLeftOver(rows);
  }

  void restoreLearned(String text) {
    Set<WorkerIncarnation> suppressing = new LinkedHashSet<>();
    Set<WorkerIncarnation> acknowledged = new HashSet<>();
    Map<WorkerIncarnation, Long> deferred = new HashMap<>();
    final long skipped = learned.restore(text, suppressing, acknowledged, deferred);
    term.unlistedDeferrals.inherit(deferred, term.startMillis + LateStart.LATEST_MILLIS);
    savedDeferred = deferred;
    term.unlistedSuppressions.inherit(suppressing, term.now.mono());
    acknowledged.forEach(term::inheritAcknowledged);
    if (skipped > 0) {
      term.logEvent("learned.skipped", "lines", Long.toString(skipped));
    }
  }

  /** Returns whether incarnations have to be stored and may be, in the next transaction. */
  private boolean incarnationsDue() {
    return term.incarnationsUnsaved && jobSaves.admitsSharedRows();
  }

  private Optional<RecoveryFacts> factsIfDue() {
    return jobSaves.admitsSharedRows() ? term.leaseEnds.beginSave(term) : Optional.empty();
  }

  private String learnedIfDue() {
    if (!jobSaves.admitsSharedRows()) {
      return "";
    }
    Set<WorkerIncarnation> suppressing = term.incarnationsWithSuppressions();
    Map<WorkerIncarnation, Long> deferred = term.firstDeferred();
    if (!learnedDue()
        && suppressing.equals(savedSuppressing)
        && deferralsSaved(deferred)
        && !term.incarnationsUnsaved) {
      return "";
    }
    learnedMillis = term.now.mono();
    savedSuppressing = suppressing;
    savedDeferred = deferred;
    term.incarnationsUnsaved = false;
    incarnationsToStore = term.acknowledgedIncarnations();
    LearnedText.Written written = learned.write(suppressing, incarnationsToStore, deferred);
    storedIncarnations = LearnedText.acknowledged(written.text());
    logCut("lives", written.incarnationsCut());
    logCut("learned", written.learnedCut());
    return written.text();
  }

  /**
   * Returns whether the next leader would defer all that is deferred: it defers all numbers from
   * the saved one on.
   */
  private boolean deferralsSaved(Map<WorkerIncarnation, Long> deferred) {
    return deferred.entrySet().stream()
        .allMatch(
            entry -> savedDeferred.getOrDefault(entry.getKey(), NOT_DEFERRED) <= entry.getValue());
  }

  private boolean learnedDue() {
    return term.now.mono() - learnedMillis >= term.timing.learnedMillis();
  }

  /** Logs once that lines of a kind are left out, until all of them fit again. */
  private void logCut(String kind, int lines) {
    if (lines == 0) {
      cutLogged.remove(kind);
    } else if (cutLogged.add(kind)) {
      term.logEvent("learned.cut", kind, "lines=" + lines);
    }
  }

  /** Handles that the store refused the last save for its content: nothing of it is stored. */
  void refused() {
    saving = false;
    if (savingSharedRows) {
      forgetSharedRows();
    }
    jobSaves.refused(savingSharedRows);
    savingCompletions.clear();
  }

  /** Records that what was written last of the rows that belong to no job is not stored. */
  private void forgetSharedRows() {
    term.leaseEnds.refused();
    learnedMillis = term.now.mono() - term.timing.learnedMillis();
    savedSuppressing = Set.of();
    savedDeferred = Map.of();
    storedIncarnations = Set.of();
    term.incarnationsUnsaved = true;
  }

  void saved() {
    saving = false;
    // What a job that is saved alone adds to the rows that belong to no job is saved next.
    term.incarnationsUnsaved |= jobSaves.apart();
    term.leaseEnds.saved().stream()
        .flatMap(id -> Stream.ofNullable(term.workers.get(id)))
        .filter(worker -> !worker.placed.isEmpty() || !worker.orphans.isEmpty())
        .forEach(worker -> orders.poll(worker, 0));
    final List<RunKey> starts = jobSaves.saved();
    final Map<WorkerIncarnation, Long> completions = new LinkedHashMap<>(savingCompletions);
    savingCompletions.clear();
    starts.forEach(this::startIfPlaced);
    completions.keySet().removeIf(incarnation -> !mayAcknowledge(incarnation));
    completions.forEach(
        (incarnation, number) ->
            term.worker(incarnation).ifPresent(worker -> acknowledge(worker, number)));
    term.jobs
        .values()
        .removeIf(
            job ->
                job.phase.terminal()
                    && !term.dirty.contains(job)
                    && !jobSaves.isLarge(job)
                    && !job.onWorkers());
  }

  /**
   * Starts a run if it is still placed. A task that was placed again in the meantime waits until
   * that placement is saved.
   */
  private void startIfPlaced(RunKey run) {
    Task task = term.find(run.task());
    if (task != null
        && task.phase == Task.Phase.PLACED
        && task.order == Task.Order.UNSAVED
        && task.run == run.run()) {
      orders.start(task);
    }
  }

  /**
   * Returns whether the next leader would know that completions were acknowledged to an
   * incarnation.
   */
  private boolean mayAcknowledge(WorkerIncarnation incarnation) {
    return !incarnation.identifierReusable() || storedIncarnations.contains(incarnation);
  }

  private void acknowledge(Worker worker, long number) {
    worker.lastAcknowledgedCompletion = Math.max(worker.lastAcknowledgedCompletion, number);
    orders.poll(worker, orders.pollWaitMillis(worker));
  }
}
