package org.cottontack.ctl.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** {@code cottontackctl explain}: where the time of jobs went, from log files. */
public final class ExplainCommand {

  private final PrintStream out;

  /** Prints to a stream. */
  public ExplainCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Explains one job, or all when none is named.
   *
   * @param files log files of all instances
   * @param job the job's id, or empty
   * @return whether there was anything to explain
   * @throws UncheckedIOException when a file cannot be read
   */
  public boolean run(List<Path> files, String job) {
    Histories all = Histories.of(files.stream().flatMap(ExplainCommand::lines));
    if (!job.isEmpty()) {
      return one(all, job);
    }
    if (all.jobs().isEmpty()) {
      out.println("no job in these files");
      return false;
    }
    new LossTable(all).print(out);
    return true;
  }

  private static Stream<String> lines(Path file) {
    try {
      return Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }

  private boolean one(Histories all, String id) {
    JobHistory job = all.jobs().get(id);
    if (job == null) {
      out.println("no line names the job " + id);
      return false;
    }
    if (!job.ended()) {
      out.printf(
          "%s: stored %s, taken %s, not ended%n",
          id, job.storedMillis > 0 ? "yes" : "no", job.takenMillis > 0 ? "yes" : "no");
      return true;
    }
    out.printf(
        "%s of queue %s: %s after %d ms, objective %d ms%n",
        id, job.queue, job.outcome, job.tookMillis(), job.objectiveMillis);
    CriticalPath.of(job, all)
        .forEach(
            span ->
                out.printf(
                    "  %+8d ms %6d ms  %-24s %s%n",
                    span.fromMillis() - job.submittedMillis,
                    span.millis(),
                    span.cause().words(),
                    span.what()));
    return true;
  }
}
