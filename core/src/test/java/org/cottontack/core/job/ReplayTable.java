package org.cottontack.core.job;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Prints the outcomes of loads under policies, with 95 % intervals over seeds. */
final class ReplayTable {

  /** System property: whether the worth of each seed is printed too, for paired comparisons. */
  private static final String EACH = "replay.each";

  private ReplayTable() {}

  /**
   * Runs the replays and prints the table.
   *
   * @param args number of seeds; then, optionally, a text that the names of the loads must contain,
   *     and names of policies
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    String loads = args.length > 1 ? args[1] : "";
    List<ReplayPolicy> policies =
        args.length > 2
            ? Stream.of(args).skip(2).map(ReplayPolicy::valueOf).toList()
            : List.of(ReplayPolicy.values());
    printHead();
    ReplayShape.all().stream()
        .filter(shape -> shape.name().contains(loads))
        .forEach(
            shape ->
                policies.forEach(policy -> print(shape, policy, Replay.all(shape, policy, seeds))));
  }

  private static void printHead() {
    System.out.printf("%-16s %-16s", "load", "policy");
    ReplayOutcome.FIGURES.forEach(figure -> System.out.printf(" %16s", figure.title()));
    System.out.println();
  }

  private static void print(ReplayShape shape, ReplayPolicy policy, List<ReplayOutcome> all) {
    System.out.printf("%-16s %-16s", shape.name(), policy.name().toLowerCase(Locale.ROOT));
    ReplayOutcome.FIGURES.forEach(
        figure ->
            System.out.printf(
                Locale.ROOT, " %8.3f ± %5.3f", figure.mean(all), figure.halfInterval(all)));
    System.out.println();
    if (Boolean.getBoolean(EACH)) {
      System.out.println(
          "each "
              + all.stream()
                  .map(outcome -> String.format(Locale.ROOT, "%.3f", outcome.worth()))
                  .collect(Collectors.joining(" ")));
    }
  }
}
