package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Saves progress, one transaction at a time. Start orders leave after their placement is saved,
 * repeated ones after that copies may come, and ends are acknowledged after they are.
 */
final class ProgressSaver {

  private static final long NOT_HELD = Long.MAX_VALUE;

  private final Term term;
  private final Orders orders;
  private final LearnedText learned;
  private final Map<WorkerIncarnation, Long> savingEnds = new LinkedHashMap<>();
  private final List<RunKey> savingStarts = new ArrayList<>();
  private boolean saving;
  private long learnedMillis;
  private Set<WorkerIncarnation> savedHiding = Set.of();
  private Map<WorkerIncarnation, Long> savedHeld = Map.of();

  /** Lives to which ends were acknowledged that the last text was to have, and those it has. */
  private Set<WorkerIncarnation> toStore = Set.of();

  private Set<WorkerIncarnation> stored = Set.of();
  private final Set<String> cutNoted = new HashSet<>();

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
    Map<JobId, String> rows = new HashMap<>();
    List<Job> batch = term.dirty.stream().limit(term.timing.jobsPerSave()).toList();
    batch.forEach(job -> rows.put(job.spec.id(), ProgressText.write(job)));
    batch.forEach(term.dirty::remove);
    batch.stream()
        .flatMap(Job::tasks)
        .filter(t -> t.phase == Task.Phase.PLACED && t.order == Task.Order.UNSAVED)
        .map(Task::key)
        .forEach(savingStarts::add);
    if (term.dirty.isEmpty()) {
      term.workers.values().stream()
          .filter(
              worker ->
                  worker.lastAcknowledgeableCompletion(now) > worker.lastAcknowledgedCompletion)
          .forEach(
              worker ->
                  savingEnds.put(worker.incarnation(), worker.lastAcknowledgeableCompletion(now)));
    }
    savingEnds.keySet().forEach(term::acknowledging);
    // One for which there was no place is tried again only when a text is due.
    Set<WorkerIncarnation> written = learnedDue() ? stored : toStore;
    term.incarnationsUnsaved |=
        savingEnds.keySet().stream()
            .anyMatch(life -> life.identifierReusable() && !written.contains(life));
    if (!rows.isEmpty() || term.incarnationsUnsaved) {
      saving = true;
      term.effects.add(new JobEffect.SaveProgress(rows, learnedIfDue()));
    } else if (!savingEnds.isEmpty()) {
      saved();
    }
  }

  void restoreLearned(String text) {
    Set<WorkerIncarnation> hiding = new LinkedHashSet<>();
    Set<WorkerIncarnation> acknowledged = new HashSet<>();
    Map<WorkerIncarnation, Long> held = new HashMap<>();
    final long skipped = learned.restore(text, hiding, acknowledged, held);
    term.unlistedDeferrals.inherit(held, term.startMillis + LateStart.LATEST_MILLIS);
    savedHeld = held;
    term.unlistedSuppressions.inherit(hiding, term.now.mono());
    acknowledged.forEach(term::inheritAcknowledged);
    if (skipped > 0) {
      term.logEvent("learned.skipped", "lines", Long.toString(skipped));
    }
  }

  private String learnedIfDue() {
    Set<WorkerIncarnation> hiding = term.incarnationsWithSuppressions();
    Map<WorkerIncarnation, Long> held = term.firstDeferred();
    if (!learnedDue()
        && hiding.equals(savedHiding)
        && heldIsSaved(held)
        && !term.incarnationsUnsaved) {
      return "";
    }
    learnedMillis = term.now.mono();
    savedHiding = hiding;
    savedHeld = held;
    term.incarnationsUnsaved = false;
    toStore = term.acknowledgedIncarnations();
    LearnedText.Written written = learned.write(hiding, toStore, held);
    stored = LearnedText.acknowledged(written.text());
    noteCut("lives", written.incarnationsCut());
    noteCut("learned", written.learnedCut());
    return written.text();
  }

  /** Returns whether the next leader would hold all that is held: it does so from a number on. */
  private boolean heldIsSaved(Map<WorkerIncarnation, Long> held) {
    return held.entrySet().stream()
        .allMatch(entry -> savedHeld.getOrDefault(entry.getKey(), NOT_HELD) <= entry.getValue());
  }

  private boolean learnedDue() {
    return term.now.mono() - learnedMillis >= term.timing.learnedMillis();
  }

  /** Says once that lines of a kind are left out, until all are kept again. */
  private void noteCut(String kind, int lines) {
    if (lines == 0) {
      cutNoted.remove(kind);
    } else if (cutNoted.add(kind)) {
      term.logEvent("learned.cut", kind, "lines=" + lines);
    }
  }

  void saved() {
    saving = false;
    List<RunKey> starts = List.copyOf(savingStarts);
    final Map<WorkerIncarnation, Long> ends = new LinkedHashMap<>(savingEnds);
    savingStarts.clear();
    savingEnds.clear();
    starts.forEach(this::startIfPlaced);
    ends.keySet().removeIf(life -> !mayAcknowledge(life));
    ends.forEach(
        (life, number) -> term.worker(life).ifPresent(worker -> acknowledge(worker, number)));
    term.jobs
        .values()
        .removeIf(job -> job.phase.terminal() && !term.dirty.contains(job) && !job.onWorkers());
  }

  /** A task that was placed anew meanwhile waits for the save of that placement. */
  private void startIfPlaced(RunKey run) {
    Task task = term.find(run.task());
    if (task != null
        && task.phase == Task.Phase.PLACED
        && task.order == Task.Order.UNSAVED
        && task.run == run.run()) {
      orders.start(task);
    }
  }

  /** Returns whether the next leader would know that a life was named ends. */
  private boolean mayAcknowledge(WorkerIncarnation life) {
    return !life.identifierReusable() || stored.contains(life);
  }

  private void acknowledge(Worker worker, long number) {
    worker.lastAcknowledgedCompletion = Math.max(worker.lastAcknowledgedCompletion, number);
    orders.poll(worker, orders.pollWaitMillis(worker));
  }
}
