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
 * Tables of the value that is lost because jobs were late, by cause. Each job that missed its
 * objective loses its value, or most of it, and the loss is divided among the causes on its
 * critical path in proportion to their time. A job with the mean work of its queue has the value 1.
 */
final class LossTable {

  /**
   * The part of a job's value that does not depend on its work, as a share of a mean job's value.
   */
  private static final double FIXED_VALUE = 0.3;

  /** Maximum value of one job, in mean jobs. */
  private static final double MAX_VALUE = 4;

  /** Share of its value that a late job keeps. */
  private static final double LATE_VALUE_SHARE = 0.15;

  /** A job that takes longer than this multiple of its objective keeps none of its value. */
  private static final int MAX_LATENESS_FACTOR = 3;

  /**
   * Milliseconds that the objective is extended by for each millisecond of work beyond the declared
   * duration. This is the smallest stretch of any queue in use.
   */
  private static final double UNEVEN_STRETCH = 1.5;

  /** Length of the intervals in the table of losses by submission time, in milliseconds. */
  private static final long INTERVAL_MILLIS = 5_000;

  private record Loss(JobHistory job, Map<Cause, Double> byCause) {

    double total() {
      return byCause.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final Histories histories;
  private final Map<String, Double> meanWork;

  LossTable(Histories histories) {
    this.histories = histories;
    this.meanWork =
        ended().stream()
            .collect(
                Collectors.groupingBy(
                    job -> job.queue, Collectors.averagingDouble(JobHistory::work)));
  }

  private List<JobHistory> ended() {
    return histories.jobs().values().stream()
        .filter(JobHistory::ended)
        .filter(job -> job.kind != JobHistory.Kind.LASTING)
        .filter(job -> job.outcome.equals("COMPLETE"))
        .toList();
  }

  private double value(JobHistory job) {
    double mean = Math.max(1, meanWork.getOrDefault(job.queue, 1.0));
    return Math.min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * job.work() / mean);
  }

  private Loss loss(JobHistory job) {
    long elapsedMillis = job.elapsedMillis();
    Map<Cause, Double> byCause = new EnumMap<>(Cause.class);
    Map<Cause, Long> delays =
        CriticalPath.of(job, histories).stream()
            .collect(Collectors.groupingBy(Span::cause, Collectors.summingLong(Span::millis)));
    double uneven = UNEVEN_STRETCH * delays.getOrDefault(Cause.UNEVEN, 0L);
    double objective = job.objectiveMillis + uneven;
    if (elapsedMillis <= objective) {
      return new Loss(job, byCause);
    }
    final double keptShare =
        elapsedMillis <= MAX_LATENESS_FACTOR * objective ? LATE_VALUE_SHARE : 0;
    delays.keySet().removeIf(Cause::inherent);
    double delayed = delays.values().stream().mapToLong(Long::longValue).sum();
    delays.forEach(
        (cause, millis) -> byCause.put(cause, (1 - keptShare) * value(job) * millis / delayed));
    return new Loss(job, byCause);
  }

  /**
   * Prints tables by kind of work, by size and by submission time, and the average load of serving
   * tasks.
   */
  void print(PrintStream out) {
    List<Loss> losses = ended().stream().map(this::loss).toList();
    out.println("Value lost, in percent of the value of all complete jobs of the line, by cause");
    printTable(out, "work", losses, loss -> loss.job().kind.name().toLowerCase(Locale.ROOT));
    out.println();
    printTable(out, "short, by size", ofKind(losses, JobHistory.Kind.SHORT), this::sizeClass);
    out.println();
    long first = losses.stream().mapToLong(loss -> loss.job().submittedMillis).min().orElse(0);
    printTable(out, "from second", losses, loss -> interval(loss.job(), first));
    out.println();
    printServing(out);
    printRefused(out);
  }

  private void printRefused(PrintStream out) {
    List<JobHistory> refused =
        histories.jobs().values().stream().filter(job -> job.firstRefusedMillis > 0).toList();
    if (!refused.isEmpty()) {
      out.printf(
          "%d jobs %s, %d of them never stored%n",
          refused.size(),
          Cause.REFUSED.label(),
          refused.stream().filter(job -> job.storedMillis == 0).count());
    }
  }

  private static List<Loss> ofKind(List<Loss> losses, JobHistory.Kind kind) {
    return losses.stream().filter(loss -> loss.job().kind == kind).toList();
  }

  /**
   * Returns the size class of a job: the largest tenth of its queue, the next fifth, or the others.
   */
  private String sizeClass(Loss loss) {
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

  private static String interval(JobHistory job, long first) {
    return "%4d"
        .formatted((job.submittedMillis - first) / INTERVAL_MILLIS * INTERVAL_MILLIS / 1_000);
  }

  private void printTable(
      PrintStream out, String title, List<Loss> losses, Function<Loss, String> groupOf) {
    List<Cause> causes =
        List.of(Cause.values()).stream()
            .filter(cause -> losses.stream().anyMatch(loss -> loss.byCause().containsKey(cause)))
            .toList();
    out.printf("%-18s %6s %6s %6s", title, "jobs", "late", "lost");
    causes.forEach(cause -> out.printf("  %s", cause.label()));
    out.println();
    new TreeMap<>(losses.stream().collect(Collectors.groupingBy(groupOf)))
        .forEach(
            (name, group) -> {
              double totalValue = group.stream().mapToDouble(loss -> value(loss.job())).sum();
              long late = group.stream().filter(loss -> loss.total() > 0).count();
              double lost = group.stream().mapToDouble(Loss::total).sum();
              out.printf("%-18s %6d %6d %6.1f", name, group.size(), late, 100 * lost / totalValue);
              causes.forEach(
                  cause -> {
                    double sum =
                        group.stream()
                            .mapToDouble(loss -> loss.byCause().getOrDefault(cause, 0.0))
                            .sum();
                    int width = cause.label().length() + 2;
                    out.printf("%" + width + ".1f", 100 * sum / totalValue);
                  });
              out.println();
            });
  }

  private void printServing(PrintStream out) {
    double over = histories.loads().stream().mapToLong(Histories.Load::over).average().orElse(0);
    double waitingShort =
        histories.loads().stream().mapToLong(Histories.Load::waitingShort).average().orElse(0);
    double waitingFilling =
        histories.loads().stream().mapToLong(Histories.Load::waitingFilling).average().orElse(0);
    out.printf(
        "On average %.1f serving tasks over their bound, %.1f short and %.1f filling waiting%n",
        over, waitingShort, waitingFilling);
  }
}
