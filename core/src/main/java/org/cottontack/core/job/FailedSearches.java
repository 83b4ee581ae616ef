package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The steps of a job for whose tasks no worker was found, and when. A worker that has not changed
 * since then still takes none of them, so the next search examines only those that have. Without
 * this, each report of a worker would cost a search of the whole fleet for everything that waits.
 *
 * <p>The effects of best-effort images that reports of other workers show are an exception: they
 * count for a worker from its own next report on, half a second to a second later.
 */
final class FailedSearches {

  /**
   * The tasks of a step that a search stands for.
   *
   * @param step the step
   * @param suspect whether the task was suspected of crashing workers
   */
  private record Subject(StepId step, boolean suspect) {

    static Subject of(Task task) {
      return new Subject(task.name.step(), CrashBlame.suspect(task));
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Subject that && suspect == that.suspect && step.equals(that.step);
    }

    @Override
    public int hashCode() {
      return 31 * Boolean.hashCode(suspect) + step.hashCode();
    }
  }

  /**
   * A search in which no worker was found.
   *
   * @param pass the placement pass
   * @param tableVersion version of the rules that were in force
   * @param ignoredContention whether it ignored the effect on serving tasks
   * @param byItself whether some worker would have taken the task but for its own restrictions
   */
  record Failure(long pass, long tableVersion, boolean ignoredContention, boolean byItself) {

    private boolean covers(JobTable present, boolean ignoresContention) {
      return tableVersion == present.version() && (ignoredContention || !ignoresContention);
    }
  }

  private final Map<Subject, Failure> failures = new HashMap<>();

  void add(Task task, Failure failure) {
    failures.put(Subject.of(task), failure);
  }

  /** Forgets the searches for tasks of an occurrence. */
  void remove(int occurrence) {
    failures.keySet().removeIf(subject -> subject.step().occurrence() == occurrence);
  }

  /**
   * Returns the last failed search for a task like this one, if it says something about the next
   * one.
   *
   * @param task the task
   * @param table the rules in force
   * @param ignoresContention whether the next search ignores the effect on serving tasks
   */
  Optional<Failure> last(Task task, JobTable table, boolean ignoresContention) {
    return Optional.ofNullable(failures.get(Subject.of(task)))
        .filter(failure -> failure.covers(table, ignoresContention));
  }
}
