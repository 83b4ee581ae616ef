package org.cottontack.core.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;

/**
 * The stored form of a job's progress: a letter for the job's phase, then one line for each task
 * that has been placed at least once.
 */
public final class ProgressText {

  private static final String NO_WORKER = "-";
  private static final int FIELDS = 8;
  private static final int CRASH_FIELDS = 2;
  private static final int MAX_FIELDS = FIELDS + CRASH_FIELDS + 1;

  /**
   * Precedes the start time of the worker's incarnation where duplicate starts are possible.
   * Earlier versions skip it.
   */
  private static final String DUPLICATE_POSSIBLE = "+";

  private ProgressText() {}

  /**
   * The line of one task. Checkpoints are escaped, because workers choose them and may use line
   * breaks.
   */
  private record Line(
      int occurrence,
      int step,
      int index,
      Task.Phase phase,
      int run,
      int failures,
      int crashes,
      int blamed,
      Optional<WorkerIncarnation> worker,
      String checkpoint,
      boolean duplicatePossible) {

    static Line of(Task task) {
      StepId step = task.name.step();
      return new Line(
          step.occurrence(),
          step.step(),
          task.name.index(),
          task.phase,
          task.run,
          task.failures,
          task.crashes,
          task.blamed,
          worker(task),
          task.checkpoint,
          task.duplicateStartPossible);
    }

    /**
     * Returns the worker of a task. For a waiting task with a start that may still be in flight,
     * this is the first incarnation that refuses the start, which has the identifier of the worker
     * that the start was sent to.
     */
    private static Optional<WorkerIncarnation> worker(Task task) {
      return Optional.ofNullable(task.worker)
          .or(() -> task.phase == Task.Phase.WAITING ? task.firstRefusing() : Optional.empty());
    }

    /**
     * Parses a line. The crashes and the start time of the worker's incarnation are left out where
     * there are none.
     */
    static Line parse(String text) {
      String[] fields = text.split(" ", -1);
      if (fields.length < FIELDS || fields.length > MAX_FIELDS || fields[3].length() != 1) {
        throw new IllegalArgumentException("not the progress of a task: " + text);
      }
      boolean hasCrashes = fields.length >= FIELDS + CRASH_FIELDS;
      boolean hasStartTime = (fields.length - FIELDS) % CRASH_FIELDS == 1;
      long startTimeMillis =
          hasStartTime
              ? Long.parseLong(fields[fields.length - 1])
              : WorkerIncarnation.UNKNOWN_START_TIME;
      return new Line(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          Integer.parseInt(fields[2]),
          Task.Phase.of(fields[3].charAt(0)),
          Integer.parseInt(fields[4]),
          Integer.parseInt(fields[5]),
          hasCrashes ? Integer.parseInt(fields[8]) : 0,
          hasCrashes ? Integer.parseInt(fields[9]) : 0,
          Optional.of(fields[6])
              .filter(name -> !name.equals(NO_WORKER))
              .map(name -> new WorkerIncarnation(new WorkerId(name), startTimeMillis)),
          URLDecoder.decode(fields[7], StandardCharsets.UTF_8),
          hasStartTime && fields[fields.length - 1].startsWith(DUPLICATE_POSSIBLE));
    }

    @Override
    public String toString() {
      String line =
          String.join(
              " ",
              Integer.toString(occurrence),
              Integer.toString(step),
              Integer.toString(index),
              String.valueOf(phase.code()),
              Integer.toString(run),
              Integer.toString(failures),
              worker.map(incarnation -> incarnation.worker().value()).orElse(NO_WORKER),
              URLEncoder.encode(checkpoint, StandardCharsets.UTF_8));
      // An earlier version rejects lines longer than those it writes, and leaves such a job alone.
      String withCrashes = crashes > 0 ? line + " " + crashes + " " + blamed : line;
      long startTimeMillis =
          worker
              .map(WorkerIncarnation::startTimeMillis)
              .orElse(WorkerIncarnation.UNKNOWN_START_TIME);
      return startTimeMillis == WorkerIncarnation.UNKNOWN_START_TIME
          ? withCrashes
          : withCrashes + " " + (duplicatePossible ? DUPLICATE_POSSIBLE : "") + startTimeMillis;
    }
  }

  /**
   * Returns the phase of a stored progress.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static JobPhase phase(String text) {
    if (text.isEmpty()) {
      throw new IllegalArgumentException("the stored progress is empty");
    }
    return JobPhase.of(text.charAt(0));
  }

  /**
   * Returns whether a stored progress can be read. An unreadable one, damaged or written by another
   * version, must not be treated as no progress, because its tasks may run or be done.
   */
  public static boolean readable(String text) {
    try {
      phase(text);
      lines(text).forEach(line -> {});
      return true;
    } catch (IllegalArgumentException e) {
      // The caller logs which job it is.
      return false;
    }
  }

  /** Returns whether some run may still be on a worker. */
  public static boolean onWorkers(String text) {
    return lines(text).anyMatch(line -> line.phase() == Task.Phase.PLACED);
  }

  private static Stream<Line> lines(String text) {
    return text.lines().skip(1).map(Line::parse);
  }

  static String write(Job job) {
    Stream<String> tasks =
        job.tasks().filter(task -> task.run > 0).map(task -> Line.of(task).toString());
    return Stream.concat(Stream.of(String.valueOf(job.phase.code())), tasks)
        .collect(Collectors.joining("\n"));
  }

  static void restore(Job job, String text) {
    job.phase = phase(text);
    lines(text).forEach(line -> restore(job, line));
  }

  private static void restore(Job job, Line line) {
    StepId step = new StepId(job.spec.id(), line.occurrence(), line.step());
    Task task = job.task(new TaskName(step, line.index()));
    task.phase = line.phase();
    task.run = line.run();
    task.failures = line.failures();
    task.crashes = line.crashes();
    task.blamed = line.blamed();
    task.worker = line.worker().orElse(null);
    task.checkpoint = line.checkpoint();
    task.duplicateStartPossible = line.duplicatePossible();
    task.order = Task.Order.CONFIRMED;
    task.pace = task.spec.is(StepSpec.Trait.FILLS) ? Task.INHERITED_PACE : Task.FULL_PACE;
  }
}
