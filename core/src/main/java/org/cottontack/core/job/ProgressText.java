package org.cottontack.core.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;

/**
 * The stored form of a job's progress. The main row has a letter for the job's phase, a mark once a
 * task of it has started, then one line for each task that has been placed at least once. The tasks
 * of a large job are in further rows, which the main row lists in place of the lines. Such a row
 * has the first task of its range, then the lines of its tasks; tasks that are done are ranges
 * there. Tasks are counted over all steps and occurrences. Once a job has ended, only the tasks
 * that are still on workers are stored.
 */
public final class ProgressText {

  private static final String NO_WORKER = "-";

  /** Bytes that a row with the line of one task takes at most beside the checkpoint. */
  private static final int LINE_BYTES = 512;

  /** Bytes that a character takes at most when it is escaped. */
  private static final int MAX_ESCAPED_BYTES = 9;

  /** Tasks of all occurrences of a job whose ranges are read: far more than a fleet can run. */
  private static final long MAX_TASKS = 1L << 33;

  /**
   * Follows the phase once a task of the job is known to have started. Earlier versions skip it,
   * and write none.
   */
  private static final String BEGUN = "b";

  private static final String PARTS = "parts ";
  private static final String FIRST = "from ";
  private static final String DONE = "d ";
  private static final int FIELDS = 8;
  private static final int CRASH_FIELDS = 2;
  private static final int MAX_FIELDS = FIELDS + CRASH_FIELDS + 1;

  /**
   * Precedes the start time of the worker's incarnation where duplicate starts are possible.
   * Earlier versions skip it.
   */
  private static final String DUPLICATE_POSSIBLE = "+";

  /**
   * Precedes it where a stray lease is possible. Earlier versions read it as {@link
   * #DUPLICATE_POSSIBLE} and a leading zero.
   */
  private static final String STRAY_LEASE_POSSIBLE = DUPLICATE_POSSIBLE + "0";

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
      boolean duplicatePossible,
      boolean strayLeasePossible) {

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
          CrashBlame.stored(task),
          worker(task),
          task.phase == Task.Phase.DONE ? "" : task.checkpoint,
          task.duplicateStartPossible,
          task.strayLeasePossible);
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
          hasStartTime && fields[fields.length - 1].startsWith(DUPLICATE_POSSIBLE),
          hasStartTime && fields[fields.length - 1].startsWith(STRAY_LEASE_POSSIBLE));
    }

    /** Returns whether a run of the task has ended, or worked until its checkpoint. */
    boolean begun() {
      return phase == Task.Phase.DONE || failures > 0 || !checkpoint.isEmpty();
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
          : withCrashes + " " + startTimePrefix() + startTimeMillis;
    }

    private String startTimePrefix() {
      if (strayLeasePossible) {
        return STRAY_LEASE_POSSIBLE;
      }
      return duplicatePossible ? DUPLICATE_POSSIBLE : "";
    }
  }

  /**
   * Tasks that are done.
   *
   * @param first the first of them
   * @param last the last of them
   */
  private record DoneTasks(long first, long last) {

    static DoneTasks parse(String text) {
      String[] fields = text.substring(DONE.length()).split(" ", -1);
      if (fields.length != 2) {
        throw new IllegalArgumentException("not a range of tasks: " + text);
      }
      DoneTasks range = new DoneTasks(Long.parseLong(fields[0]), Long.parseLong(fields[1]));
      if (range.first() < 0 || range.last() < range.first() || range.last() >= MAX_TASKS) {
        throw new IllegalArgumentException("not a range of tasks: " + text);
      }
      return range;
    }

    @Override
    public String toString() {
      return DONE + first + " " + last;
    }
  }

  /** Builds a row of tasks. Tasks are added in their order. */
  static final class PartBuilder {

    /** Size of a range of done tasks at most, in bytes. */
    private static final int RANGE_BYTES = 40;

    private final long first;
    private final StringBuilder text;
    private long doneFrom = -1;
    private long doneTo = -1;

    PartBuilder(long first) {
      this.first = first;
      this.text = new StringBuilder(FIRST).append(first);
    }

    /** Returns the first task of the range. */
    long first() {
      return first;
    }

    /** Adds tasks that are done. */
    void addDone(long from, long to) {
      if (doneFrom < 0 || doneTo != from - 1) {
        endRange();
        doneFrom = from;
      }
      doneTo = to;
    }

    /** Adds the line of a task. */
    void add(String line) {
      endRange();
      text.append('\n').append(line);
    }

    private void endRange() {
      if (doneFrom >= 0) {
        text.append('\n').append(new DoneTasks(doneFrom, doneTo));
      }
      doneFrom = -1;
      doneTo = -1;
    }

    /** Returns at most how many bytes the row has; lines consist of ASCII but for worker names. */
    int length() {
      return text.length() + RANGE_BYTES;
    }

    /** Returns the row. */
    String text() {
      endRange();
      return text.toString();
    }
  }

  /**
   * Returns the phase of a main row.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static JobPhase phase(String main) {
    if (main.isEmpty()) {
      throw new IllegalArgumentException("the stored progress is empty");
    }
    return JobPhase.of(main.charAt(0));
  }

  /** Returns whether a job has ended and none of its tasks is on a worker, by its main row. */
  public static boolean ended(String main) {
    return phase(main).terminal()
        && listedParts(main).findAny().isEmpty()
        && taskLines(main).map(Line::parse).noneMatch(line -> line.phase() == Task.Phase.PLACED);
  }

  /** Returns the numbers of the rows of tasks that a main row lists. */
  static Stream<Integer> listedParts(String main) {
    return main.lines()
        .skip(1)
        .filter(line -> line.startsWith(PARTS))
        .flatMap(ProgressText::ranges);
  }

  private static Stream<Integer> ranges(String line) {
    return Stream.of(line.substring(PARTS.length()).split(",", -1))
        .map(range -> range.split("-", 2))
        .flatMap(
            ends ->
                IntStream.rangeClosed(
                        Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]))
                    .boxed());
  }

  /** Returns the main row of a job whose tasks are in other rows, with their numbers ascending. */
  static String main(Job job, List<Integer> numbers) {
    List<String> ranges = new ArrayList<>();
    int from = 0;
    for (int i = 1; i <= numbers.size(); i++) {
      boolean ends = i == numbers.size() || numbers.get(i) != numbers.get(i - 1) + 1;
      if (ends) {
        int first = numbers.get(from);
        int last = numbers.get(i - 1);
        ranges.add(first == last ? Integer.toString(first) : first + "-" + last);
        from = i;
      }
    }
    return head(job) + "\n" + PARTS + String.join(",", ranges);
  }

  /**
   * Returns the first task of the range of a row of tasks.
   *
   * @throws IllegalArgumentException if the text is no such row
   */
  static long firstTask(String part) {
    String line = part.lines().findFirst().orElse("");
    if (!line.startsWith(FIRST)) {
      throw new IllegalArgumentException("not a row of tasks: " + line);
    }
    return Long.parseLong(line.substring(FIRST.length()));
  }

  /** Returns the size of a text in the store, in bytes. */
  static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Checks all rows in force.
   *
   * @throws IllegalArgumentException if one is missing or cannot be read
   */
  static void check(StoredProgress progress) {
    phase(progress.main());
    listedParts(progress.main()).map(progress::part).forEach(ProgressText::firstTask);
    lines(progress).forEach(line -> {});
    doneTasks(progress).forEach(range -> {});
  }

  private static Stream<String> taskLines(String row) {
    return row.lines().skip(1).filter(line -> !line.startsWith(PARTS) && !line.startsWith(DONE));
  }

  private static Stream<String> rows(StoredProgress progress) {
    return Stream.concat(
        Stream.of(progress.main()), listedParts(progress.main()).map(progress::part));
  }

  private static Stream<Line> lines(StoredProgress progress) {
    return rows(progress).flatMap(ProgressText::taskLines).map(Line::parse);
  }

  private static Stream<DoneTasks> doneTasks(StoredProgress progress) {
    return rows(progress)
        .flatMap(String::lines)
        .filter(line -> line.startsWith(DONE))
        .map(DoneTasks::parse);
  }

  /** Returns whether the line of a task with a checkpoint fits into a row. */
  static boolean fits(String checkpoint, int rowBytes) {
    int maxBytes = rowBytes - LINE_BYTES;
    return checkpoint.length() <= maxBytes / MAX_ESCAPED_BYTES
        || URLEncoder.encode(checkpoint, StandardCharsets.UTF_8).length() <= maxBytes;
  }

  /** Returns whether a task has a line of its own, or is done. */
  static boolean isStored(Task task) {
    return task.phase == Task.Phase.PLACED
        || (!task.job.phase.terminal() && (task.run > 0 || task.phase == Task.Phase.DONE));
  }

  /** Returns the line of a task. */
  static String line(Task task) {
    return Line.of(task).toString();
  }

  private static String head(Job job) {
    return job.phase.code() + (job.begun && !job.phase.terminal() ? BEGUN : "");
  }

  /**
   * Returns whether a task of a job is known to have started, or the job has ended. A task may be
   * placed and its start refused, so its line alone does not show this.
   */
  static boolean begun(StoredProgress progress) {
    return phase(progress.main()).terminal()
        || progress.main().startsWith(BEGUN, 1)
        || doneTasks(progress).findAny().isPresent()
        || lines(progress).anyMatch(Line::begun);
  }

  /** Returns the main row with the lines of all tasks. */
  static String write(Job job) {
    Stream<String> tasks = job.tasks().filter(ProgressText::isStored).map(ProgressText::line);
    return Stream.concat(Stream.of(head(job)), tasks).collect(Collectors.joining("\n"));
  }

  static void restore(Job job, StoredProgress progress) {
    job.phase = phase(progress.main());
    job.begun = begun(progress);
    if (listedParts(progress.main()).findAny().isPresent()) {
      doneTasks(progress)
          .sorted(Comparator.comparingLong(DoneTasks::first))
          .forEach(range -> job.restoreDone(range.first(), range.last()));
    }
    lines(progress).forEach(line -> restore(job, line));
    job.rows.restore(progress);
  }

  private static void restore(Job job, Line line) {
    StepId step = new StepId(job.spec.id(), line.occurrence(), line.step());
    Task task = job.task(new TaskName(step, line.index()));
    task.phase = line.phase();
    task.run = line.run();
    task.recordRestored();
    task.failures = line.failures();
    task.crashes = line.crashes();
    task.blamed = line.blamed();
    task.worker = line.worker().orElse(null);
    task.checkpoint = line.checkpoint();
    task.duplicateStartPossible = line.duplicatePossible();
    task.strayLeasePossible = line.strayLeasePossible();
    task.order = Task.Order.CONFIRMED;
    task.pace = task.spec.is(StepSpec.Trait.FILLS) ? Task.INHERITED_PACE : Task.FULL_PACE;
  }
}
