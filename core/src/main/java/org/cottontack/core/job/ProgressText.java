package org.cottontack.core.job;

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

  private ProgressText() {}

  /** Returns the phase that a stored progress says. */
  public static JobPhase phase(String text) {
    return JobPhase.of(text.charAt(0));
  }

  /** Returns whether some run may still be on a worker. */
  public static boolean onWorkers(String text) {
    return text.lines().skip(1).anyMatch(line -> line.split(" ", -1)[3].equals("p"));
  }

  static String write(Job job) {
    Stream<String> tasks = job.tasks().filter(task -> task.run > 0).map(ProgressText::line);
    return Stream.concat(Stream.of(String.valueOf(job.phase.code())), tasks)
        .collect(Collectors.joining("\n"));
  }

  private static String line(Task task) {
    StepId step = task.name.step();
    String worker = task.worker == null ? NO_WORKER : task.worker.value();
    return String.join(
        " ",
        Integer.toString(step.occurrence()),
        Integer.toString(step.step()),
        Integer.toString(task.name.index()),
        String.valueOf(task.phase.code()),
        Integer.toString(task.run),
        Integer.toString(task.failures),
        worker,
        task.checkpoint);
  }

  static void restore(Job job, String text) {
    job.phase = phase(text);
    text.lines().skip(1).forEach(line -> restoreTask(job, line.split(" ", FIELDS)));
  }

  private static void restoreTask(Job job, String[] fields) {
    StepId step =
        new StepId(job.spec.id(), Integer.parseInt(fields[0]), Integer.parseInt(fields[1]));
    Task task = job.task(new TaskName(step, Integer.parseInt(fields[2])));
    task.phase = Task.Phase.of(fields[3].charAt(0));
    task.run = Integer.parseInt(fields[4]);
    task.failures = Integer.parseInt(fields[5]);
    task.worker = fields[6].equals(NO_WORKER) ? null : new WorkerId(fields[6]);
    task.checkpoint = fields[7];
    task.order = Task.Order.CONFIRMED;
    task.pace = task.spec.is(StepSpec.Trait.FILLS) ? Task.INHERITED_PACE : Task.FULL_PACE;
  }
}
