package org.cottontack.ctl.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The {@code cottontackctl explain} command, which shows from log files what the time of jobs was
 * spent on.
 */
public final class ExplainCommand {

  private final PrintStream out;

  /** Creates a command that prints to a stream. */
  public ExplainCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints the critical path of one job, or a table of all jobs.
   *
   * @param files the log files of all instances
   * @param job the identifier of the job; empty for a table of all jobs
   * @return whether the files contain the job, or any job
   * @throws UncheckedIOException if a file cannot be read
   */
  public boolean run(List<Path> files, String job) {
    Histories histories = Histories.of(files.stream().flatMap(ExplainCommand::lines));
    if (!job.isEmpty()) {
      return explainJob(histories, job);
    }
    if (histories.jobs().isEmpty()) {
      out.println("no job in these files");
      return false;
    }
    new LossTable(histories).print(out);
    return true;
  }

  private static Stream<String> lines(Path file) {
    try {
      return Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }

  private boolean explainJob(Histories histories, String id) {
    JobHistory job = histories.jobs().get(id);
    if (job == null) {
      out.println("no line names the job " + id);
      return false;
    }
    if (!job.ended()) {
      out.printf(
          "%s: stored %s, taken %s, not ended%s%n",
          id,
          job.storedMillis > 0 ? "yes" : "no",
          job.takenMillis > 0 ? "yes" : "no",
          job.firstRefusedMillis > 0 ? ", " + Cause.REFUSED.label() : "");
      return true;
    }
    out.printf(
        "%s of queue %s: %s after %d ms, objective %d ms%n",
        id, job.queue, job.outcome, job.elapsedMillis(), job.objectiveMillis);
    if (!job.givenUp.isEmpty()) {
      explainGivenUp(job);
    }
    CriticalPath.of(job, histories)
        .forEach(
            span ->
                out.printf(
                    "  %+8d ms %6d ms  %-24s %s%n",
                    span.fromMillis() - job.submittedMillis,
                    span.millis(),
                    span.cause().label(),
                    span.subject()));
    return true;
  }

  /** Prints on what evidence a task was found to crash its workers, and what was lost under it. */
  private void explainGivenUp(JobHistory job) {
    String task = job.givenUp.split(" ", 2)[0];
    out.printf("  crashes its workers: %s%n", job.givenUp);
    job.losses.stream()
        .filter(line -> line.subject().startsWith(task + "#"))
        .forEach(
            line ->
                out.printf(
                    "  %+8d ms lost %s: %s%n",
                    line.millis() - job.submittedMillis, line.subject(), line.detail()));
  }
}
