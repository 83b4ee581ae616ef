package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The progress of a job; confined to {@link JobScheduler}.
 *
 * <p>The occurrences of a schedule are opened in their order as they become due. Those of a large
 * schedule are opened only while few tasks are ready and wait, and are dropped once they have
 * ended, so what a job costs its leader depends on the tasks that run or may start next and not on
 * how many occurrences are due or done.
 */
final class Job {

  /** Number of tasks up to which all occurrences of a job are kept, whether due or done. */
  private static final long MAX_TASKS_KEPT = 1_000;

  /**
   * Number of ready tasks of a large schedule from which no further occurrence is opened: more than
   * a leader starts between two ticks.
   */
  static final int MAX_READY = 200;

  /** Number of tasks in the open occurrences of a large schedule, unless a single one has more. */
  static final int MAX_OPEN_TASKS = 20_000;

  /** One repetition of a job. */
  static final class Occurrence {
    final int number;
    final List<List<Task>> steps;

    Occurrence(Job job, int number) {
      this.number = number;
      this.steps =
          IntStream.range(0, job.spec.steps().size())
              .mapToObj(step -> create(job, new StepId(job.spec.id(), number, step)))
              .toList();
    }

    private static List<Task> create(Job job, StepId id) {
      StepSpec step = job.spec.steps().get(id.step());
      return IntStream.range(0, step.count())
          .mapToObj(index -> new Task(job, new TaskName(id, index), step))
          .toList();
    }

    boolean ended() {
      return tasks().allMatch(task -> task.phase == Task.Phase.DONE);
    }

    Stream<Task> tasks() {
      return steps.stream().flatMap(List::stream);
    }

    boolean done(int step) {
      return steps.get(step).stream().allMatch(task -> task.phase == Task.Phase.DONE);
    }

    boolean mayStart(int step, JobSpec spec) {
      return spec.steps().get(step).after().stream().allMatch(this::done);
    }
  }

  final JobSpec spec;
  final long arrivedMillis;

  /** Ignored starts of all jobs of the leader. */
  final IgnoredStarts ignoredStarts;

  /** The occurrences that were opened and are kept; of a large schedule those not ended. */
  private final TreeMap<Integer, Occurrence> open = new TreeMap<>();

  /** Number of occurrences that were opened; those of them that are not open are done. */
  private int opened;

  /** Number of occurrences that were due when this was last advanced. */
  private int due;

  JobPhase phase = JobPhase.QUEUED;

  /**
   * Whether the last placement pass found no free place for a task that some worker could hold.
   * Recorded only while admission control is in force.
   */
  boolean waitsForPlace;

  /** The searches for a worker that failed. */
  final FailedSearches failedSearches = new FailedSearches();

  /** The rows of its progress. */
  final ProgressRows rows;

  /** The completions that are not to be acknowledged before this job is saved. */
  final UnsavedCompletions unsavedCompletions = new UnsavedCompletions();

  /** Whether the job no longer waits for its first start. */
  boolean begun;

  /** Whether an earlier leader has placed a task of the job, so that one may have started. */
  boolean placedEarlier;

  Job(JobSpec spec, long arrivedMillis) {
    this(spec, arrivedMillis, new IgnoredStarts());
  }

  /** Creates a job that shares the record of ignored starts with other jobs. */
  Job(JobSpec spec, long arrivedMillis, IgnoredStarts ignoredStarts) {
    this.spec = spec;
    this.rows = new ProgressRows(spec.id());
    this.arrivedMillis = arrivedMillis;
    this.ignoredStarts = ignoredStarts;
  }

  /** Returns whether a task of the job has started, or may have under an earlier leader. */
  boolean mayHaveBegun() {
    return begun || placedEarlier;
  }

  /** Returns whether the job has too many tasks to keep all its occurrences. */
  private boolean large() {
    return spec.allTasks() > MAX_TASKS_KEPT;
  }

  /** Opens occurrences that are due, and returns whether there were any to open. */
  boolean advance(long wallMillis) {
    due = Math.max(opened, spec.schedule().due(wallMillis));
    if (large()) {
      dropDone();
    }
    int before = opened;
    openUpTo(before + (large() ? Math.min(due - before, room()) : due - before));
    return opened > before;
  }

  private void dropDone() {
    List<Integer> done =
        open.values().stream().filter(Occurrence::ended).map(ended -> ended.number).toList();
    done.forEach(open::remove);
    done.forEach(failedSearches::remove);
  }

  /** Returns how many occurrences of a large schedule may be opened now. */
  private int room() {
    long ready = ready().limit(MAX_READY).count();
    long readyOfEach =
        spec.steps().stream()
            .filter(step -> step.after().isEmpty())
            .mapToLong(StepSpec::count)
            .sum();
    long byReady = divideUp(MAX_READY - ready, readyOfEach);
    long byTasks = Math.max(open.isEmpty() ? 1 : 0, MAX_OPEN_TASKS / spec.tasks() - open.size());
    return (int) Math.max(0, Math.min(byReady, byTasks));
  }

  private void openUpTo(int count) {
    for (; opened < count; opened++) {
      open.put(opened, new Occurrence(this, opened));
    }
  }

  /** Returns the occurrences that are kept, in their order. */
  Collection<Occurrence> open() {
    return open.values();
  }

  /** Returns the number of tasks in the occurrences that were opened, those that ended included. */
  long openedTasks() {
    return opened * spec.tasks();
  }

  /** Returns the number of occurrences that were due when last looked at and are not opened. */
  int waitingOccurrences() {
    return Math.max(0, due - opened);
  }

  /** Returns whether some occurrences were dropped. */
  boolean hasDropped() {
    return open.size() < opened;
  }

  Stream<Task> tasks() {
    return open.values().stream().flatMap(Occurrence::tasks);
  }

  /** Returns the phase and the number of placed runs, for a log line. */
  String describe() {
    long placed = tasks().filter(task -> task.phase == Task.Phase.PLACED).count();
    return phase + " placed=" + placed;
  }

  /**
   * Returns a task of an occurrence that is open or, as in stored progress, to be opened.
   *
   * @throws IllegalArgumentException if the occurrence has ended
   */
  Task task(TaskName name) {
    int occurrence = name.step().occurrence();
    openUpTo(occurrence + 1);
    if (!open.containsKey(occurrence)) {
      throw new IllegalArgumentException("the occurrence of " + name + " has ended");
    }
    return open.get(occurrence).steps.get(name.step().step()).get(name.index());
  }

  /**
   * Restores tasks that are done. Ranges of them are restored in their order.
   *
   * @param first the first task, counted over all steps and occurrences
   * @param last the last one
   */
  void restoreDone(long first, long last) {
    long perOccurrence = spec.tasks();
    long end = Math.min(last + 1, spec.allTasks());
    int firstWhole = divideUp(first, perOccurrence);
    int endWhole = (int) (end / perOccurrence);
    if (large() && firstWhole < endWhole && opened < endWhole) {
      openUpTo(firstWhole);
      opened = endWhole;
    }
    openUpTo(divideUp(end, perOccurrence));
    open.tailMap((int) (first / perOccurrence)).values().stream()
        .takeWhile(occurrence -> occurrence.number * perOccurrence < end)
        .forEach(occurrence -> recordDone(occurrence, first, end));
  }

  private static int divideUp(long number, long divisor) {
    return (int) ((number + divisor - 1) / divisor);
  }

  private void recordDone(Occurrence occurrence, long first, long end) {
    long number = occurrence.number * spec.tasks();
    occurrence
        .tasks()
        .skip(Math.max(0, first - number))
        .limit(end - Math.max(first, number))
        .forEach(Task::recordDone);
  }

  /** Returns the other tasks of a task's step. */
  Stream<Task> siblings(Task task) {
    StepId step = task.name.step();
    return open.get(step.occurrence()).steps.get(step.step()).stream()
        .filter(other -> other != task);
  }

  /** Returns whether a task is in an open occurrence. */
  boolean has(TaskName name) {
    return open.containsKey(name.step().occurrence()) && spec.has(name);
  }

  /** Returns the waiting tasks whose preceding steps are done. */
  Stream<Task> ready() {
    return open.values().stream()
        .flatMap(
            o ->
                IntStream.range(0, o.steps.size())
                    .filter(step -> o.mayStart(step, spec))
                    .boxed()
                    .flatMap(step -> o.steps.get(step).stream()))
        .filter(task -> task.phase == Task.Phase.WAITING);
  }

  boolean finished() {
    return opened == spec.schedule().occurrences()
        && open.values().stream().allMatch(Occurrence::ended);
  }

  boolean onWorkers() {
    return tasks().anyMatch(task -> task.phase == Task.Phase.PLACED);
  }
}
