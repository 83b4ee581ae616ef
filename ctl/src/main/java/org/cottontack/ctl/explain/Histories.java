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

/**
 * The histories of all jobs, the intervals without a leader and the evacuations, read from the log
 * lines of all instances.
 */
final class Histories {

  private static final Pattern PLACED = Pattern.compile("(\\d+\\.\\d+)#(\\d+)@(\\S+)");
  private static final Pattern RUN = Pattern.compile("([^.]+)\\.\\d+\\.(\\d+\\.\\d+)#(\\d+)");

  /** Prefixes of the names of events that only a leader logs. */
  private static final List<String> LEADER_EVENT_PREFIXES =
      List.of(
          "job.taken",
          "job.placed",
          "job.ended",
          "run.",
          "start.",
          "worker.",
          "leader.load",
          "evacuation.");

  /** An interval without a leader, or with an evacuation of at least one data centre. */
  record Interval(long fromMillis, long toMillis) {

    long overlap(long from, long to) {
      return Math.max(0, Math.min(to, toMillis) - Math.max(from, fromMillis));
    }
  }

  /** The load of the whole fleet as logged by a leader. */
  record Load(long millis, long over, long waitingShort, long waitingFilling) {}

  private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
  private final List<Interval> leaderGaps = new ArrayList<>();
  private final List<Interval> evacuations = new ArrayList<>();
  private final Set<String> evacuatingDataCentres = new HashSet<>();
  private final List<Load> loads = new ArrayList<>();
  private long lastLeaderMillis;
  private long evacuationStartMillis;
  private long lastMillis;

  private Histories() {}

  /** Reads log lines, which may be in any order. */
  static Histories of(Stream<String> lines) {
    Histories histories = new Histories();
    lines
        .map(LogLine::parse)
        .flatMap(Optional::stream)
        .sorted(Comparator.comparingLong(LogLine::millis))
        .forEachOrdered(histories::process);
    histories.endEvacuations(histories.lastMillis);
    return histories;
  }

  Map<String, JobHistory> jobs() {
    return jobs;
  }

  List<Load> loads() {
    return loads;
  }

  /** Returns for how long there was no leader within an interval, in milliseconds. */
  long leaderlessMillis(long fromMillis, long toMillis) {
    return leaderGaps.stream().mapToLong(interval -> interval.overlap(fromMillis, toMillis)).sum();
  }

  /**
   * Returns for how long at least one data centre was being evacuated within an interval, in
   * milliseconds.
   */
  long evacuationMillis(long fromMillis, long toMillis) {
    return evacuations.stream().mapToLong(interval -> interval.overlap(fromMillis, toMillis)).sum();
  }

  private void process(LogLine line) {
    lastMillis = line.millis();
    if (line.event().equals("leader.ready")) {
      if (lastLeaderMillis > 0) {
        leaderGaps.add(new Interval(lastLeaderMillis, line.millis()));
      }
      lastLeaderMillis = line.millis();
      return;
    }
    if (LEADER_EVENT_PREFIXES.stream().anyMatch(line.event()::startsWith)) {
      lastLeaderMillis = line.millis();
    }
    switch (line.event()) {
      case "job.submitted" -> job(line.subject()).submitted(line);
      case "job.refused" -> job(line.subject()).refused(line);
      case "job.taken" -> job(line.subject()).taken(line);
      case "job.placed" -> placed(line);
      case "job.ended" -> ended(line);
      case "run.ended" -> runEnded(line);
      case "run.missing" -> runMissing(line);
      case "run.lost" -> runLost(line);
      case "job.givenUp" -> job(line.subject()).givenUp = line.detail();
      case "worker.lapsed", "worker.reborn" -> workerLost(line);
      case "evacuation.seen", "evacuation.left" -> evacuationSeen(line);
      case "evacuation.ended" -> evacuationEnded(line);
      case "leader.load" -> load(line);
      default -> {
        // Other events do not affect the time of a single job.
      }
    }
  }

  private void evacuationSeen(LogLine line) {
    if (evacuatingDataCentres.isEmpty()) {
      evacuationStartMillis = line.millis();
    }
    evacuatingDataCentres.add(line.subject());
  }

  private void evacuationEnded(LogLine line) {
    evacuatingDataCentres.remove(line.subject());
    if (evacuatingDataCentres.isEmpty()) {
      endEvacuations(line.millis());
    }
  }

  private void endEvacuations(long millis) {
    if (evacuationStartMillis > 0) {
      evacuations.add(new Interval(evacuationStartMillis, millis));
      evacuationStartMillis = 0;
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

  private void runLost(LogLine line) {
    Matcher name = RUN.matcher(line.subject());
    if (name.matches()) {
      job(name.group(1)).losses.add(line);
    }
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
              run.ended(RunHistory.Status.of(words[1]), line.millis());
              run.slowedMillis = line.number("slowed");
              run.expectedMillis = line.number("expected");
            });
  }

  private void runMissing(LogLine line) {
    Matcher name = RUN.matcher(line.subject());
    if (name.matches()) {
      job(name.group(1))
          .run(name.group(2), Integer.parseInt(name.group(3)))
          .ifPresent(run -> run.ended(RunHistory.Status.GONE, line.millis()));
    }
  }

  private void workerLost(LogLine line) {
    jobs.values().stream()
        .flatMap(job -> job.runs.values().stream())
        .flatMap(List::stream)
        .filter(run -> run.status == RunHistory.Status.OPEN && run.worker.equals(line.subject()))
        .forEach(run -> run.ended(RunHistory.Status.GONE, line.millis()));
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
