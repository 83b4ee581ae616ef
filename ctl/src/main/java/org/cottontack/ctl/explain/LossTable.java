package org.cottontack.ctl.explain;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What jobs were late for: each job that missed its objective loses its value, and the loss is
 * shared among the causes on its critical path by their time. A mean job of its queue has the value
 * 1.
 */
final class LossTable {

  /** Value of a job that does not grow with its work, as a share of a mean job's. */
  private static final double FIXED_VALUE = 0.3;

  /** Most value of one job, in mean jobs. */
  private static final double MOST_VALUE = 4;

  /** Value that a late result keeps. */
  private static final double LATE_VALUE = 0.15;

  /** A result later than this many times its objective keeps nothing. */
  private static final int LATEST = 3;

  /**
   * How much the objective grows with work that turned out longer than declared: the least stretch
   * in use.
   */
  private static final double UNEVEN_STRETCH = 1.5;

  /** Length of the moments that losses are told by, in milliseconds. */
  private static final long MOMENT_MILLIS = 5_000;

  private record Loss(JobHistory job, Map<Cause, Double> byCause) {

    double sum() {
      return byCause.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final Histories all;
  private final Map<String, Double> meanWork;

  LossTable(Histories all) {
    this.all = all;
    this.meanWork =
        ended().stream()
            .collect(
                Collectors.groupingBy(
                    job -> job.queue, Collectors.averagingDouble(JobHistory::work)));
  }

  private List<JobHistory> ended() {
    return all.jobs().values().stream()
        .filter(JobHistory::ended)
        .filter(job -> job.kind != JobHistory.Kind.LASTING)
        .filter(job -> job.outcome.equals("COMPLETE"))
        .toList();
  }

  private double value(JobHistory job) {
    double mean = Math.max(1, meanWork.getOrDefault(job.queue, 1.0));
    return Math.min(MOST_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * job.work() / mean);
  }

  private Loss loss(JobHistory job) {
    long took = job.tookMillis();
    Map<Cause, Double> byCause = new EnumMap<>(Cause.class);
    Map<Cause, Long> delays =
        CriticalPath.of(job, all).stream()
            .collect(Collectors.groupingBy(Span::cause, Collectors.summingLong(Span::millis)));
    double uneven = UNEVEN_STRETCH * delays.getOrDefault(Cause.UNEVEN, 0L);
    double objective = job.objectiveMillis + uneven;
    if (took <= objective) {
      return new Loss(job, byCause);
    }
    final double kept = took <= LATEST * objective ? LATE_VALUE : 0;
    delays.keySet().removeIf(Cause::inherent);
    double delayed = delays.values().stream().mapToLong(Long::longValue).sum();
    delays.forEach(
        (cause, millis) -> byCause.put(cause, (1 - kept) * value(job) * millis / delayed));
    return new Loss(job, byCause);
  }

  /** Prints one table by kind of work, one by size and one by moment. */
  void print(PrintStream out) {
    List<Loss> losses = ended().stream().map(this::loss).toList();
    out.println("Value lost, in percent of the value of all complete jobs of the line, by cause");
    table(out, "work", losses, loss -> loss.job().kind.name().toLowerCase(Locale.ROOT));
    out.println();
    table(out, "short, by size", kind(losses, JobHistory.Kind.SHORT), this::size);
    out.println();
    long first = losses.stream().mapToLong(loss -> loss.job().submittedMillis).min().orElse(0);
    table(out, "from second", losses, loss -> moment(loss.job(), first));
    out.println();
    serving(out);
  }

  private static List<Loss> kind(List<Loss> losses, JobHistory.Kind kind) {
    return losses.stream().filter(loss -> loss.job().kind == kind).toList();
  }

  /**
   * Returns whether a job is among the largest tenth of its queue, the fifth below, or the rest.
   */
  private String size(Loss loss) {
    List<Double> sizes =
        ended().stream()
            .filter(job -> job.queue.equals(loss.job().queue))
            .map(JobHistory::work)
            .sorted(Comparator.reverseOrder())
            .toList();
    int rank = sizes.indexOf(loss.job().work());
    if (rank < sizes.size() / 10) {
      return "a: largest tenth";
    }
    return rank < 3 * sizes.size() / 10 ? "b: next fifth" : "c: others";
  }

  private static String moment(JobHistory job, long first) {
    return "%4d".formatted((job.submittedMillis - first) / MOMENT_MILLIS * MOMENT_MILLIS / 1_000);
  }

  private void table(
      PrintStream out, String title, List<Loss> losses, Function<Loss, String> line) {
    List<Cause> causes =
        List.of(Cause.values()).stream()
            .filter(cause -> losses.stream().anyMatch(loss -> loss.byCause().containsKey(cause)))
            .toList();
    out.printf("%-18s %6s %6s %6s", title, "jobs", "late", "lost");
    causes.forEach(cause -> out.printf("  %s", cause.words()));
    out.println();
    new TreeMap<>(losses.stream().collect(Collectors.groupingBy(line)))
        .forEach(
            (name, part) -> {
              double owed = part.stream().mapToDouble(loss -> value(loss.job())).sum();
              long late = part.stream().filter(loss -> loss.sum() > 0).count();
              double lost = part.stream().mapToDouble(Loss::sum).sum();
              out.printf("%-18s %6d %6d %6.1f", name, part.size(), late, 100 * lost / owed);
              causes.forEach(
                  cause -> {
                    double sum =
                        part.stream()
                            .mapToDouble(loss -> loss.byCause().getOrDefault(cause, 0.0))
                            .sum();
                    int width = cause.words().length() + 2;
                    out.printf("%" + width + ".1f", 100 * sum / owed);
                  });
              out.println();
            });
  }

  private void serving(PrintStream out) {
    double over = all.loads().stream().mapToLong(Histories.Load::over).average().orElse(0);
    double waitingShort =
        all.loads().stream().mapToLong(Histories.Load::waitingShort).average().orElse(0);
    double waitingFilling =
        all.loads().stream().mapToLong(Histories.Load::waitingFilling).average().orElse(0);
    out.printf(
        "On average %.1f serving tasks over their bound, %.1f short and %.1f filling waiting%n",
        over, waitingShort, waitingFilling);
  }
}
