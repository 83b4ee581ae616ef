package org.cottontack.core.job;

import java.util.ArrayList;
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
  private final List<RunKey> savingStarts = new ArrayList<>();
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
  }

  void save() {
    if (saving) {
      return;
    }
    final long now = term.now.mono();
    final Map<JobId, String> rows = takeDirtyRows();
    if (term.dirty.isEmpty()) {
      term.workers.values().stream()
          .filter(
              worker ->
                  worker.lastAcknowledgeableCompletion(now) > worker.lastAcknowledgedCompletion)
          .forEach(
              worker ->
                  savingCompletions.put(
                      worker.incarnation(), worker.lastAcknowledgeableCompletion(now)));
    }
    savingCompletions.keySet().forEach(term::acknowledging);
    // An incarnation that did not fit into the text is tried again only when a text is due.
    Set<WorkerIncarnation> written = learnedDue() ? storedIncarnations : incarnationsToStore;
    term.incarnationsUnsaved |=
        savingCompletions.keySet().stream()
            .anyMatch(
                incarnation -> incarnation.identifierReusable() && !written.contains(incarnation));
    Optional<Map<WorkerIncarnation, Long>> leaseEnds = term.leaseEnds.beginSave(term);
    if (!rows.isEmpty() || term.incarnationsUnsaved || leaseEnds.isPresent()) {
      saving = true;
      term.effects.add(new JobEffect.SaveProgress(rows, learnedIfDue(), leaseEnds));
    } else if (!savingCompletions.isEmpty()) {
      saved();
    }
  }

  /**
   * Returns the progress of the jobs that the next transaction saves, and notes the starts that
   * wait for it.
   */
  private Map<JobId, String> takeDirtyRows() {
    Map<JobId, String> rows = new HashMap<>();
    List<Job> batch = term.dirty.stream().limit(term.timing.jobsPerSave()).toList();
    batch.forEach(job -> rows.put(job.spec.id(), ProgressText.write(job)));
    batch.forEach(term.dirty::remove);
    batch.stream()
        .flatMap(Job::tasks)
        .filter(t -> t.phase == Task.Phase.PLACED && t.order == Task.Order.UNSAVED)
        .map(Task::key)
        .forEach(savingStarts::add);
    return rows;
  }

  /**
   * Saves what the next leader cannot learn from a worker that leaves meanwhile: the progress that
   * is not saved yet, and the ends of leases of unreachable workers.
   */
  void saveBeforeEnd() {
    if (saving) {
      return;
    }
    Map<JobId, String> rows = takeDirtyRows();
    Optional<Map<WorkerIncarnation, Long>> ends = term.leaseEnds.beginSave(term);
    if (!rows.isEmpty() || ends.isPresent()) {
      saving = true;
      String text = rows.isEmpty() ? "" : learnedIfDue();
      term.effects.add(new JobEffect.SaveProgress(rows, text, ends));
    }
  }

  /** Returns whether all progress is saved. */
  boolean allSaved() {
    return !saving && term.dirty.isEmpty();
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

  private String learnedIfDue() {
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

  void saved() {
    saving = false;
    term.leaseEnds.saved().stream()
        .flatMap(id -> Stream.ofNullable(term.workers.get(id)))
        .filter(worker -> !worker.placed.isEmpty() || !worker.orphans.isEmpty())
        .forEach(worker -> orders.poll(worker, 0));
    List<RunKey> starts = List.copyOf(savingStarts);
    final Map<WorkerIncarnation, Long> completions = new LinkedHashMap<>(savingCompletions);
    savingStarts.clear();
    savingCompletions.clear();
    starts.forEach(this::startIfPlaced);
    completions.keySet().removeIf(incarnation -> !mayAcknowledge(incarnation));
    completions.forEach(
        (incarnation, number) ->
            term.worker(incarnation).ifPresent(worker -> acknowledge(worker, number)));
    term.jobs
        .values()
        .removeIf(job -> job.phase.terminal() && !term.dirty.contains(job) && !job.onWorkers());
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
