package org.cottontack.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The histories of all jobs, and when nobody led, from the lines of all instances. */
final class Histories {

  private static final Pattern PLACED = Pattern.compile("(\\d+\\.\\d+)#(\\d+)@(\\S+)");
  private static final Pattern RUN = Pattern.compile("([^.]+)\\.\\d+\\.(\\d+\\.\\d+)#(\\d+)");

  /** Lines that only a leader writes. */
  private static final List<String> LEADERS =
      List.of(
          "job.taken",
          "job.placed",
          "job.ended",
          "run.",
          "start.",
          "worker.",
          "leader.load",
          "evacuation.");

  /** A span in which nobody decided, or in which some data centre was being emptied. */
  record Gap(long fromMillis, long toMillis) {

    long overlap(long from, long to) {
      return Math.max(0, Math.min(to, toMillis) - Math.max(from, fromMillis));
    }
  }

  /** What a leader said of the whole fleet at one moment. */
  record Load(long millis, long over, long waitingShort, long waitingFilling) {}

  private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
  private final List<Gap> gaps = new ArrayList<>();
  private final List<Gap> evacuations = new ArrayList<>();
  private final Set<String> evacuated = new HashSet<>();
  private final List<Load> loads = new ArrayList<>();
  private long ledMillis;
  private long evacuatedMillis;
  private long lastMillis;

  private Histories() {}

  /** Reads lines in any order. */
  static Histories of(Stream<String> lines) {
    Histories histories = new Histories();
    lines
        .map(LogLine::parse)
        .flatMap(Optional::stream)
        .sorted(Comparator.comparingLong(LogLine::millis))
        .forEachOrdered(histories::take);
    histories.endEvacuations(histories.lastMillis);
    return histories;
  }

  Map<String, JobHistory> jobs() {
    return jobs;
  }

  List<Load> loads() {
    return loads;
  }

  /** Returns for how long nobody decided within a span, in milliseconds. */
  long leaderless(long fromMillis, long toMillis) {
    return gaps.stream().mapToLong(gap -> gap.overlap(fromMillis, toMillis)).sum();
  }

  /** Returns for how long some data centre was being emptied within a span, in milliseconds. */
  long evacuated(long fromMillis, long toMillis) {
    return evacuations.stream().mapToLong(gap -> gap.overlap(fromMillis, toMillis)).sum();
  }

  private void take(LogLine line) {
    lastMillis = line.millis();
    if (line.event().equals("leader.ready")) {
      if (ledMillis > 0) {
        gaps.add(new Gap(ledMillis, line.millis()));
      }
      ledMillis = line.millis();
      return;
    }
    if (LEADERS.stream().anyMatch(line.event()::startsWith)) {
      ledMillis = line.millis();
    }
    switch (line.event()) {
      case "job.submitted" -> job(line.subject()).submitted(line);
      case "job.taken" -> job(line.subject()).taken(line);
      case "job.placed" -> placed(line);
      case "job.ended" -> ended(line);
      case "run.ended" -> runEnded(line);
      case "run.missing" -> runGone(line);
      case "worker.lapsed", "worker.reborn" -> workerGone(line);
      case "evacuation.seen", "evacuation.left" -> evacuationSeen(line);
      case "evacuation.ended" -> evacuationEnded(line);
      case "leader.load" -> load(line);
      default -> {
        // Other events tell nothing of a single job's time.
      }
    }
  }

  private void evacuationSeen(LogLine line) {
    if (evacuated.isEmpty()) {
      evacuatedMillis = line.millis();
    }
    evacuated.add(line.subject());
  }

  private void evacuationEnded(LogLine line) {
    evacuated.remove(line.subject());
    if (evacuated.isEmpty()) {
      endEvacuations(line.millis());
    }
  }

  private void endEvacuations(long millis) {
    if (evacuatedMillis > 0) {
      evacuations.add(new Gap(evacuatedMillis, millis));
      evacuatedMillis = 0;
    }
  }

  private JobHistory job(String id) {
    return jobs.computeIfAbsent(id, JobHistory::new);
  }

  private void placed(LogLine line) {
    Matcher found = PLACED.matcher(line.detail());
    while (found.find()) {
      int number = Integer.parseInt(found.group(2));
      RunHistory run = new RunHistory(number, found.group(3), line.millis());
      job(line.subject()).placed(found.group(1), run);
    }
  }

  private void ended(LogLine line) {
    JobHistory job = job(line.subject());
    job.endMillis = line.millis();
    job.outcome = line.detail();
  }

  private void runEnded(LogLine line) {
    Matcher name = RUN.matcher(line.subject());
    String[] words = line.detail().split(" ", -1);
    if (!name.matches() || words.length < 2) {
      return;
    }
    job(name.group(1))
        .run(name.group(2), Integer.parseInt(name.group(3)))
        .ifPresent(
            run -> {
              run.ended(RunHistory.End.of(words[1]), line.millis());
              run.slowedMillis = line.number("slowed");
              run.expectedMillis = line.number("expected");
            });
  }

  private void runGone(LogLine line) {
    Matcher name = RUN.matcher(line.subject());
    if (name.matches()) {
      job(name.group(1))
          .run(name.group(2), Integer.parseInt(name.group(3)))
          .ifPresent(run -> run.ended(RunHistory.End.GONE, line.millis()));
    }
  }

  private void workerGone(LogLine line) {
    jobs.values().stream()
        .flatMap(job -> job.runs.values().stream())
        .flatMap(List::stream)
        .filter(run -> run.end == RunHistory.End.OPEN && run.worker.equals(line.subject()))
        .forEach(run -> run.ended(RunHistory.End.GONE, line.millis()));
  }

  private void load(LogLine line) {
    loads.add(
        new Load(
            line.millis(),
            line.number("over"),
            line.number("waitingShort"),
            line.number("waitingFilling")));
  }
}
