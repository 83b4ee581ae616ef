package org.cottontack.standin.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An independent record of what ran, where, when and how often. It knows nothing of the scheduler's
 * state, so it sees a violation the scheduler does not know of.
 */
public final class Ledger {

  /**
   * One run of a task.
   *
   * @param task the task
   * @param attempt its attempt
   * @param worker where
   * @param startedAt milliseconds of this process's monotonic clock
   * @param endedAt the same, or -1 while it runs
   * @param end how it ended, or null while it runs
   */
  public record TaskRun(
      String task, int attempt, String worker, long startedAt, long endedAt, String end) {}

  /**
   * All that was recorded.
   *
   * @param violations promises that were broken, one line each
   * @param requestRuns how often each request ran, by its body
   * @param taskRuns every run of every task
   * @param maxSlots most slots of each endpoint that were taken at once
   */
  public record Report(
      List<String> violations,
      Map<String, Integer> requestRuns,
      List<TaskRun> taskRuns,
      Map<String, Integer> maxSlots) {}

  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> requestRuns = new TreeMap<>();
  private final Map<String, Integer> maxSlots = new TreeMap<>();
  private final List<TaskRun> ended = new ArrayList<>();
  private final Map<String, TaskRun> running = new HashMap<>();

  /** Records that an endpoint began to run a request. */
  public synchronized void requestStarted(
      String endpoint, String body, boolean once, int taken, int slots) {
    int runs = requestRuns.merge(body, 1, Integer::sum);
    maxSlots.merge(endpoint, taken, Math::max);
    if (once && runs > 1) {
      violations.add("non-idempotent request ran " + runs + " times: " + body);
    }
    if (taken > slots) {
      violations.add("endpoint " + endpoint + " ran " + taken + " requests in " + slots + " slots");
    }
  }

  /**
   * Records that a worker began to run a task, which may finish only {@code once} or more often.
   */
  public synchronized void taskStarted(
      String task, int attempt, String worker, boolean once, long now) {
    TaskRun other = running.get(task);
    if (other != null) {
      violations.add("task %s ran on %s and on %s at once".formatted(task, other.worker(), worker));
    }
    boolean finished =
        ended.stream().anyMatch(run -> run.task().equals(task) && "finished".equals(run.end()));
    if (finished && once) {
      violations.add("task " + task + " ran again after it had finished");
    }
    running.put(task, new TaskRun(task, attempt, worker, now, -1, null));
  }

  /** Records that a run of a task ended. */
  public synchronized void taskEnded(String task, int attempt, String end, long now) {
    TaskRun run = running.get(task);
    if (run != null && run.attempt() == attempt) {
      running.remove(task);
      ended.add(new TaskRun(task, attempt, run.worker(), run.startedAt(), now, end));
    }
  }

  /** Records that a worker was given more than it can hold. */
  public synchronized void overfull(String worker, String detail) {
    violations.add("worker " + worker + " holds more than it can: " + detail);
  }

  /** Returns everything recorded so far. */
  public synchronized Report report() {
    List<TaskRun> runs = new ArrayList<>(ended);
    runs.addAll(running.values());
    return new Report(List.copyOf(violations), Map.copyOf(requestRuns), runs, Map.copyOf(maxSlots));
  }
}
