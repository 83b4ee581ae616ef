package org.cottontack.standin.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Record of what ran, where, when and how often. It is independent of the scheduler's state and
 * therefore also detects violations that the scheduler does not notice.
 */
public final class Ledger {

  /**
   * One run of a task.
   *
   * @param task identifier of the task
   * @param attempt number of the attempt
   * @param worker name of the worker that ran it
   * @param startedAt start time, in milliseconds of this process's monotonic clock
   * @param endedAt end time on the same clock, or -1 while the task runs
   * @param end status at the end, or null while the task runs
   */
  public record TaskRun(
      String task, int attempt, String worker, long startedAt, long endedAt, String end) {}

  /**
   * Copy of everything recorded so far.
   *
   * @param violations violated guarantees, one line each
   * @param requestRuns number of runs of each request, by request body
   * @param taskRuns every run of every task
   * @param maxSlots maximum number of slots of each endpoint that were occupied at once
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

  /**
   * Records that an endpoint began to run a request. It is a violation if a request with {@code
   * once} runs again or if more slots are occupied than the endpoint has.
   */
  public synchronized void requestStarted(
      String endpoint, String body, boolean once, int occupied, int slots) {
    int runs = requestRuns.merge(body, 1, Integer::sum);
    maxSlots.merge(endpoint, occupied, Math::max);
    if (once && runs > 1) {
      violations.add("non-idempotent request ran " + runs + " times: " + body);
    }
    if (occupied > slots) {
      violations.add(
          "endpoint " + endpoint + " ran " + occupied + " requests in " + slots + " slots");
    }
  }

  /**
   * Records that a worker began to run a task. It is a violation if the task still runs elsewhere,
   * or if a task with {@code once} runs again after it finished.
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

  /** Records the end of a task run and its status. */
  public synchronized void taskEnded(String task, int attempt, String end, long now) {
    TaskRun run = running.get(task);
    if (run != null && run.attempt() == attempt) {
      running.remove(task);
      ended.add(new TaskRun(task, attempt, run.worker(), run.startedAt(), now, end));
    }
  }

  /** Records the violation that a worker runs tasks that exceed its capacity. */
  public synchronized void capacityExceeded(String worker, String detail) {
    violations.add("worker " + worker + " holds more than it can: " + detail);
  }

  /** Returns a copy of everything recorded so far. */
  public synchronized Report report() {
    List<TaskRun> runs = new ArrayList<>(ended);
    runs.addAll(running.values());
    return new Report(List.copyOf(violations), Map.copyOf(requestRuns), runs, Map.copyOf(maxSlots));
  }
}
