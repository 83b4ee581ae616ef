package org.cottontack.daemon.job;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.StepId;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;

/**
 * The text of the row with what a leader stores of unreachable workers and of starts in doubt: the
 * epoch of its writer, a line with the latest ignored start, a line for each worker and one for
 * each run. Identifiers are escaped, because the platform and callers choose them. Older versions
 * skip all lines but those of workers.
 *
 * @param epoch the epoch of the leader that wrote it
 * @param facts the facts, on the store's clock
 */
record LeaseEndsText(long epoch, RecoveryFacts facts) {

  private static final Pattern EPOCH = Pattern.compile("(\\d{1,15})");
  private static final String ID = "((?:[\\w.*+-]|%[0-9A-F]{2})+)";
  private static final String TIME = " (\\d{1,15})";
  private static final String NUMBER = " (\\d{1,9})";
  private static final Pattern IGNORED = Pattern.compile("ignored" + TIME);
  private static final Pattern LINE = Pattern.compile(ID + TIME + TIME);
  private static final Pattern START =
      Pattern.compile("start " + ID + NUMBER.repeat(4) + TIME + TIME);

  /**
   * Parses a text. Without an end or an expiry the next leader waits for longer, which is always
   * safe, so a text of another form counts as one without facts.
   */
  static LeaseEndsText parse(String text) {
    String[] lines = text.split("\n", -1);
    Matcher epoch = EPOCH.matcher(lines[0]);
    if (!epoch.matches()) {
      return new LeaseEndsText(0, RecoveryFacts.NONE);
    }
    Map<WorkerIncarnation, Long> ends = new HashMap<>();
    matches(lines, LINE).forEach(line -> ends.put(worker(line), time(line, 3)));
    Map<RunKey, StartExpiry> starts = new HashMap<>();
    matches(lines, START)
        .forEach(line -> starts.put(run(line), new StartExpiry(time(line, 6), time(line, 7))));
    OptionalLong ignored = matches(lines, IGNORED).mapToLong(line -> time(line, 1)).max();
    return new LeaseEndsText(
        Long.parseLong(epoch.group(1)), new RecoveryFacts(ends, starts, ignored));
  }

  private static Stream<Matcher> matches(String[] lines, Pattern form) {
    return Stream.of(lines).skip(1).map(form::matcher).filter(Matcher::matches);
  }

  private static WorkerIncarnation worker(Matcher line) {
    return new WorkerIncarnation(new WorkerId(id(line)), time(line, 2));
  }

  private static RunKey run(Matcher line) {
    StepId step = new StepId(new JobId(id(line)), (int) time(line, 2), (int) time(line, 3));
    return new RunKey(new TaskName(step, (int) time(line, 4)), (int) time(line, 5));
  }

  private static String id(Matcher line) {
    return URLDecoder.decode(line.group(1), StandardCharsets.UTF_8);
  }

  private static long time(Matcher line, int group) {
    return Long.parseLong(line.group(group));
  }

  /**
   * Returns the text of the row. Lines that exceed the size limit are left out. The ignored start
   * comes first: without it, and not without the others, the next leader waits for less.
   *
   * @param maxBytes size limit of the text, in bytes
   */
  String text(int maxBytes) {
    int[] bytes = {0};
    return Stream.of(
            Stream.of(Long.toString(epoch)),
            facts.ignoredStart().stream().mapToObj(sent -> "ignored " + sent),
            facts.leaseEnds().entrySet().stream().map(end -> line(end.getKey(), end.getValue())),
            facts.starts().entrySet().stream().map(run -> line(run.getKey(), run.getValue())))
        .flatMap(Function.identity())
        .takeWhile(line -> (bytes[0] += line.length() + 1) <= maxBytes)
        .collect(Collectors.joining("\n"));
  }

  private static String line(WorkerIncarnation worker, long end) {
    return encode(worker.worker().value()) + " " + worker.startTimeMillis() + " " + end;
  }

  private static String line(RunKey run, StartExpiry expiry) {
    StepId step = run.task().step();
    return "start %s %d %d %d %d %d %d"
        .formatted(
            encode(step.job().value()),
            step.occurrence(),
            step.step(),
            run.task().index(),
            run.run(),
            expiry.minPinEndMillis(),
            expiry.expiresMillis());
  }

  private static String encode(String id) {
    return URLEncoder.encode(id, StandardCharsets.UTF_8);
  }
}
