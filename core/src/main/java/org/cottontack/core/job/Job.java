package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The progress of a job; confined to {@link JobScheduler}. */
final class Job {

  /** One repetition of a job. */
  static final class Occurrence {
    final int number;
    final List<List<Task>> steps;

    Occurrence(Job job, int number) {
      this.number = number;
      this.steps =
          IntStream.range(0, job.spec.steps().size())
              .mapToObj(step -> tasks(job, new StepId(job.spec.id(), number, step)))
              .toList();
    }

    private static List<Task> tasks(Job job, StepId id) {
      StepSpec step = job.spec.steps().get(id.step());
      return IntStream.range(0, step.count())
          .mapToObj(index -> new Task(job, new TaskName(id, index), step))
          .toList();
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

  final List<Occurrence> occurrences = new ArrayList<>();
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

  /** Creates the occurrences that have become due, and returns whether there were any. */
  boolean advance(long wallMillis) {
    int before = occurrences.size();
    while (occurrences.size() < spec.schedule().occurrences()
        && spec.schedule().dueMillis(occurrences.size()) <= wallMillis) {
      occurrences.add(new Occurrence(this, occurrences.size()));
    }
    return occurrences.size() > before;
  }

  Stream<Task> tasks() {
    return occurrences.stream().flatMap(o -> o.steps.stream()).flatMap(List::stream);
  }

  /** Returns the phase and the number of placed runs, for a log line. */
  String describe() {
    long placed = tasks().filter(task -> task.phase == Task.Phase.PLACED).count();
    return phase + " placed=" + placed;
  }

  Task task(TaskName name) {
    while (occurrences.size() <= name.step().occurrence()) {
      occurrences.add(new Occurrence(this, occurrences.size()));
    }
    return occurrences
        .get(name.step().occurrence())
        .steps
        .get(name.step().step())
        .get(name.index());
  }

  /** Records which tasks are done, counted over all steps and occurrences. */
  void done(BitSet tasks) {
    long last = Math.min((tasks.length() - 1) / spec.tasks(), spec.schedule().occurrences() - 1);
    while (!tasks.isEmpty() && occurrences.size() <= last) {
      occurrences.add(new Occurrence(this, occurrences.size()));
    }
    int[] number = {0};
    tasks()
        .forEach(
            task -> {
              if (tasks.get(number[0])) {
                task.recordDone();
              }
              number[0]++;
            });
  }

  /** Returns the other tasks of a task's step. */
  Stream<Task> siblings(Task task) {
    StepId step = task.name.step();
    return occurrences.get(step.occurrence()).steps.get(step.step()).stream()
        .filter(other -> other != task);
  }

  boolean has(TaskName name) {
    int occurrence = name.step().occurrence();
    int step = name.step().step();
    return occurrence < spec.schedule().occurrences()
        && step < spec.steps().size()
        && name.index() < spec.steps().get(step).count();
  }

  /** Returns the waiting tasks whose preceding steps are done. */
  Stream<Task> ready() {
    return occurrences.stream()
        .flatMap(
            o ->
                IntStream.range(0, o.steps.size())
                    .filter(step -> o.mayStart(step, spec))
                    .boxed()
                    .flatMap(step -> o.steps.get(step).stream()))
        .filter(task -> task.phase == Task.Phase.WAITING);
  }

  boolean finished() {
    return occurrences.size() == spec.schedule().occurrences()
        && tasks().allMatch(task -> task.phase == Task.Phase.DONE);
  }

  boolean onWorkers() {
    return tasks().anyMatch(task -> task.phase == Task.Phase.PLACED);
  }
}
