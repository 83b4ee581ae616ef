package org.cottontack.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the lines say of one job. */
final class JobHistory {

  private static final Pattern STEP =
      Pattern.compile(
          "(\\d+)x(\\d+)mc/\\d+MB ~(\\d+)ms after \\[([\\d, ]*)\\] \\[([A-Z_, ]*)\\]"
              + ".*? image=(\\S*)");

  /** What kind of work a job is. */
  enum Kind {
    SHORT,
    FILLING,
    LASTING
  }

  /** One step of a job, as the leader described it. */
  record Step(int count, long cpuMillis, long estimateMillis, List<Integer> after) {

    double work() {
      return (double) count * cpuMillis * estimateMillis;
    }
  }

  final String id;
  final List<Step> steps = new ArrayList<>();

  /** Runs of each task, by {@code step.index}, in the order of their numbers. */
  final Map<String, List<RunHistory>> runs = new TreeMap<>();

  Kind kind = Kind.SHORT;
  String queue = "";
  long objectiveMillis;
  long submittedMillis;
  long storedMillis;
  long takenMillis;
  long endMillis;
  String outcome = "";

  JobHistory(String id) {
    this.id = id;
  }

  void submitted(LogLine line) {
    long began = line.millis() - line.fields().path("millis").asLong();
    submittedMillis = submittedMillis == 0 ? began : Math.min(submittedMillis, began);
    if (storedMillis == 0 && line.fields().path("answer").asText().equals("STORED")) {
      storedMillis = line.millis();
    }
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

  /** Returns the run of a step that was done last, with its task's name; nothing when none was. */
  Optional<Map.Entry<String, RunHistory>> lastDone(int step) {
    return runs.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(step + "."))
        .flatMap(
            entry ->
                entry.getValue().stream()
                    .filter(run -> run.end == RunHistory.End.DONE)
                    .map(run -> Map.entry(entry.getKey(), run)))
        .max(Comparator.comparingLong(entry -> entry.getValue().endMillis));
  }

  boolean ended() {
    return endMillis > 0 && storedMillis > 0 && takenMillis > 0;
  }

  /** Returns how long it took from the first submission, in milliseconds. */
  long tookMillis() {
    return endMillis - submittedMillis;
  }

  double work() {
    return steps.stream().mapToDouble(Step::work).sum();
  }
}
