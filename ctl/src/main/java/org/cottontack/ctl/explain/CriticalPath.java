package org.cottontack.ctl.explain;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Follows a job from its end back to its submission along what it had to wait for: the run that was
 * done last, the runs of that task before, the step that had to be done first, and so on.
 */
final class CriticalPath {

  /** Waits shorter than this are part of any start, in milliseconds: two writes and a look. */
  private static final long USUAL_WAIT_MILLIS = 60;

  /**
   * Time beyond the expected that a run may take by its own work, as a share of it: durations of
   * one step differ by a third either way, so the longest of ten tasks takes 1.8 times the
   * expected.
   */
  private static final double UNEVEN_SHARE = 0.8;

  private final JobHistory job;
  private final Histories all;
  private final Deque<Span> spans = new ArrayDeque<>();

  private CriticalPath(JobHistory job, Histories all) {
    this.job = job;
    this.all = all;
  }

  /** Returns the spans of a job that has ended, in the order of time. */
  static List<Span> of(JobHistory job, Histories all) {
    CriticalPath path = new CriticalPath(job, all);
    path.follow();
    return List.copyOf(path.spans);
  }

  private void follow() {
    long until = job.endMillis;
    Optional<Map.Entry<String, RunHistory>> next = lastOf(allSteps());
    while (next.isPresent()) {
      String task = next.get().getKey();
      RunHistory run = next.get().getValue();
      add(Cause.NOTICE, run.endMillis, until, "after " + task);
      until = beforeRuns(task, run);
      int step = Integer.parseInt(task.substring(0, task.indexOf('.')));
      next = step < job.steps.size() ? lastOf(job.steps.get(step).after()) : Optional.empty();
      long open = next.map(entry -> entry.getValue().endMillis).orElse(job.takenMillis);
      waited(open, until, task);
      until = open;
    }
    add(Cause.NO_LEADER, job.storedMillis, Math.min(until, job.takenMillis), "until taken");
    add(Cause.INTAKE, job.submittedMillis, job.storedMillis, "until stored");
  }

  private List<Integer> allSteps() {
    return IntStream.range(0, job.steps.size()).boxed().toList();
  }

  private Optional<Map.Entry<String, RunHistory>> lastOf(List<Integer> steps) {
    return steps.stream()
        .flatMap(step -> job.lastDone(step).stream())
        .max(Comparator.comparingLong(entry -> entry.getValue().endMillis));
  }

  /** Adds the runs of a task up to the given one; returns when the first of them was placed. */
  private long beforeRuns(String task, RunHistory last) {
    worked(task, last);
    long until = last.placedMillis;
    List<RunHistory> earlier =
        job.runs.get(task).stream()
            .filter(run -> run.number < last.number)
            .sorted(Comparator.comparingInt((RunHistory run) -> run.number).reversed())
            .toList();
    for (RunHistory run : earlier) {
      long end = run.end == RunHistory.End.OPEN ? until : Math.min(run.endMillis, until);
      waited(end, until, task);
      add(run.end.cause(), run.placedMillis, end, task + "#" + run.number + "@" + run.worker);
      until = run.placedMillis;
    }
    return until;
  }

  private void worked(String task, RunHistory run) {
    long ran = run.endMillis - run.placedMillis;
    long slowed = Math.min(run.slowedMillis, ran);
    long excess = Math.max(0, ran - slowed - run.expectedMillis);
    long uneven = Math.min(excess, Math.round(UNEVEN_SHARE * run.expectedMillis));
    long slow = excess - uneven;
    String what = task + "#" + run.number + "@" + run.worker;
    long end = run.endMillis;
    add(Cause.SLOW, end - slow, end, what);
    add(Cause.PACED, end - slow - slowed, end - slow, what);
    add(Cause.UNEVEN, end - slow - slowed - uneven, end - slow - slowed, what);
    add(Cause.WORK, run.placedMillis, end - slow - slowed - uneven, what);
  }

  private void waited(long from, long to, String task) {
    long leaderless = Math.min(all.leaderless(from, to), Math.max(0, to - from));
    add(Cause.NO_LEADER, to - leaderless, to, task);
    long until = to - leaderless;
    if (until - from <= USUAL_WAIT_MILLIS) {
      add(Cause.WORK, from, until, task);
      return;
    }
    long evacuated = Math.min(all.evacuated(from, until), until - from);
    add(Cause.EVACUATED, until - evacuated, until, task);
    add(Cause.ROOM, from, until - evacuated, task);
  }

  private void add(Cause cause, long from, long to, String what) {
    if (to > from) {
      spans.addFirst(new Span(cause, from, to, what));
    }
  }
}
