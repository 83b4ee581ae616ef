package org.cottontack.ctl.explain;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Computes the critical path of a job. The path is traced backwards from the end of the job to its
 * submission: the run that was done last, the earlier runs of the same task, the last run of the
 * steps that the task depended on, and so on.
 */
final class CriticalPath {

  /**
   * Longest wait, in milliseconds, that counts as work because every start needs it: two writes to
   * the store and a poll of the worker.
   */
  private static final long NORMAL_WAIT_MILLIS = 60;

  /**
   * Time beyond the expected duration that is attributed to uneven work, as a share of the expected
   * duration. Durations within a step vary by a third in either direction, so the longest of ten
   * tasks takes 1.8 times the expected duration.
   */
  private static final double UNEVEN_SHARE = 0.8;

  private final JobHistory job;
  private final Histories histories;
  private final Deque<Span> spans = new ArrayDeque<>();

  private CriticalPath(JobHistory job, Histories histories) {
    this.job = job;
    this.histories = histories;
  }

  /** Returns the spans of a job that has ended, in chronological order. */
  static List<Span> of(JobHistory job, Histories histories) {
    CriticalPath path = new CriticalPath(job, histories);
    path.trace();
    return List.copyOf(path.spans);
  }

  private void trace() {
    long until = job.endMillis;
    Optional<Map.Entry<String, RunHistory>> next = lastOf(allSteps());
    while (next.isPresent()) {
      String task = next.get().getKey();
      RunHistory run = next.get().getValue();
      add(Cause.NOTICE, run.endMillis, until, "after " + task);
      until = addRuns(task, run);
      int step = Integer.parseInt(task.substring(0, task.indexOf('.')));
      next = step < job.steps.size() ? lastOf(job.steps.get(step).after()) : Optional.empty();
      long readyMillis = next.map(entry -> entry.getValue().endMillis).orElse(job.takenMillis);
      addWait(readyMillis, until, task);
      until = readyMillis;
    }
    add(Cause.NO_LEADER, job.storedMillis, Math.min(until, job.takenMillis), "until taken");
    long refusedMillis = job.firstRefusedMillis == 0 ? job.storedMillis : job.firstRefusedMillis;
    add(Cause.REFUSED, refusedMillis, job.storedMillis, "until stored");
    add(
        Cause.INTAKE,
        job.submittedMillis,
        Math.min(refusedMillis, job.storedMillis),
        "until stored");
  }

  private List<Integer> allSteps() {
    return IntStream.range(0, job.steps.size()).boxed().toList();
  }

  private Optional<Map.Entry<String, RunHistory>> lastOf(List<Integer> steps) {
    return steps.stream()
        .flatMap(step -> job.lastDone(step).stream())
        .max(Comparator.comparingLong(entry -> entry.getValue().endMillis));
  }

  /**
   * Adds the spans of the runs of a task up to the given run, and returns the time when the first
   * of them was placed.
   */
  private long addRuns(String task, RunHistory last) {
    addRun(task, last);
    long until = last.placedMillis;
    List<RunHistory> earlier =
        job.runs.get(task).stream()
            .filter(run -> run.number < last.number)
            .sorted(Comparator.comparingInt((RunHistory run) -> run.number).reversed())
            .toList();
    for (RunHistory run : earlier) {
      long end = run.status == RunHistory.Status.OPEN ? until : Math.min(run.endMillis, until);
      addWait(end, until, task);
      add(run.status.cause(), run.placedMillis, end, task + "#" + run.number + "@" + run.worker);
      until = run.placedMillis;
    }
    return until;
  }

  private void addRun(String task, RunHistory run) {
    long runMillis = run.endMillis - run.placedMillis;
    long slowed = Math.min(run.slowedMillis, runMillis);
    long excess = Math.max(0, runMillis - slowed - run.expectedMillis);
    long uneven = Math.min(excess, Math.round(UNEVEN_SHARE * run.expectedMillis));
    long slow = excess - uneven;
    String subject = task + "#" + run.number + "@" + run.worker;
    long end = run.endMillis;
    add(Cause.SLOW, end - slow, end, subject);
    add(Cause.PACED, end - slow - slowed, end - slow, subject);
    add(Cause.UNEVEN, end - slow - slowed - uneven, end - slow - slowed, subject);
    add(Cause.WORK, run.placedMillis, end - slow - slowed - uneven, subject);
  }

  private void addWait(long from, long to, String task) {
    long leaderless = Math.min(histories.leaderlessMillis(from, to), Math.max(0, to - from));
    add(Cause.NO_LEADER, to - leaderless, to, task);
    long until = to - leaderless;
    if (until - from <= NORMAL_WAIT_MILLIS) {
      add(Cause.WORK, from, until, task);
      return;
    }
    long evacuated = Math.min(histories.evacuationMillis(from, until), until - from);
    add(Cause.EVACUATED, until - evacuated, until, task);
    add(Cause.ROOM, from, until - evacuated, task);
  }

  private void add(Cause cause, long from, long to, String subject) {
    if (to > from) {
      spans.addFirst(new Span(cause, from, to, subject));
    }
  }
}
