package org.cottontack.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The history of one job, as read from log lines. */
final class JobHistory {

  private static final Pattern STEP =
      Pattern.compile(
          "(\\d+)x(\\d+)mc/\\d+MB ~(\\d+)ms after \\[([\\d, ]*)\\] \\[([A-Z_, ]*)\\]"
              + ".*? image=(\\S*)");

  /** The kind of work of a job. */
  enum Kind {
    /** Neither best-effort nor long-running. */
    SHORT,
    /** Best-effort. */
    FILLING,
    /** Long-running. */
    LASTING
  }

  /** One step of a job, as logged by the leader. */
  record Step(int count, long cpuMillis, long estimateMillis, List<Integer> after) {

    double work() {
      return (double) count * cpuMillis * estimateMillis;
    }
  }

  final String id;
  final List<Step> steps = new ArrayList<>();

  /** The runs of each task, keyed by {@code step.index}, in the order in which they were placed. */
  final Map<String, List<RunHistory>> runs = new TreeMap<>();

  Kind kind = Kind.SHORT;
  String queue = "";
  long objectiveMillis;
  long submittedMillis;
  long storedMillis;
  long firstRefusedMillis;
  long takenMillis;
  long endMillis;
  String outcome = "";

  /** Which task the leader found to crash its workers, and on what evidence; empty if none. */
  String givenUp = "";

  /** The losses of runs together with their workers, as logged by the leader. */
  final List<LogLine> losses = new ArrayList<>();

  JobHistory(String id) {
    this.id = id;
  }

  void submitted(LogLine line) {
    long startMillis = line.millis() - line.fields().path("millis").asLong();
    submittedMillis = submittedMillis == 0 ? startMillis : Math.min(submittedMillis, startMillis);
    if (storedMillis == 0 && line.fields().path("answer").asText().equals("STORED")) {
      storedMillis = line.millis();
    }
  }

  void refused(LogLine line) {
    firstRefusedMillis = firstRefusedMillis == 0 ? line.millis() : firstRefusedMillis;
  }

  void taken(LogLine line) {
    if (takenMillis != 0) {
      return;
    }
    takenMillis = line.millis();
    queue = line.detail().replaceFirst("queue=(\\S*).*", "$1");
    objectiveMillis = line.number("objective");
    Matcher step = STEP.matcher(line.detail());
    while (step.find()) {
      steps.add(
          new Step(
              Integer.parseInt(step.group(1)),
              Long.parseLong(step.group(2)),
              Long.parseLong(step.group(3)),
              numbers(step.group(4))));
      kind = kindOf(step.group(5));
    }
  }

  private static List<Integer> numbers(String text) {
    return Pattern.compile("\\d+")
        .matcher(text)
        .results()
        .map(found -> Integer.valueOf(found.group()))
        .toList();
  }

  private static Kind kindOf(String traits) {
    if (traits.contains("LASTS")) {
      return Kind.LASTING;
    }
    return traits.contains("FILLS") ? Kind.FILLING : Kind.SHORT;
  }

  void placed(String task, RunHistory run) {
    List<RunHistory> all = runs.computeIfAbsent(task, key -> new ArrayList<>());
    if (all.stream().noneMatch(known -> known.number == run.number)) {
      all.add(run);
    }
  }

  Optional<RunHistory> run(String task, int number) {
    return runs.getOrDefault(task, List.of()).stream()
        .filter(run -> run.number == number)
        .findFirst();
  }

  /**
   * Returns the run of a step that was completed last, with the name of its task, or empty if no
   * run of the step was completed.
   */
  Optional<Map.Entry<String, RunHistory>> lastDone(int step) {
    return runs.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(step + "."))
        .flatMap(
            entry ->
                entry.getValue().stream()
                    .filter(run -> run.status == RunHistory.Status.DONE)
                    .map(run -> Map.entry(entry.getKey(), run)))
        .max(Comparator.comparingLong(entry -> entry.getValue().endMillis));
  }

  boolean ended() {
    return endMillis > 0 && storedMillis > 0 && takenMillis > 0;
  }

  /** Returns the time from the first submission to the end, in milliseconds. */
  long elapsedMillis() {
    return endMillis - submittedMillis;
  }

  double work() {
    return steps.stream().mapToDouble(Step::work).sum();
  }
}
