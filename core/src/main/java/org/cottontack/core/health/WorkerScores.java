package org.cottontack.core.health;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.StoredLines;

/**
 * The scores of all workers. Speeds that were measured against expected durations are relative to
 * the median of the pool, and do not count without one, so wrong expectations make no worker
 * suspect. Ratings change only in {@link #refresh}.
 */
public final class WorkerScores implements StoredLines {

  private static final String KIND = "worker";
  private static final int FIELDS = 5;

  /** Maximum number of stored lines: 100 of at most some 60 bytes fit beside the other lines. */
  private static final int MAX_LINES = 100;

  /** Workers below which a pool has no meaningful median. */
  private static final int MIN_WORKERS = 3;

  /**
   * How long a restored line waits for its worker to be seen, in milliseconds: by then its evidence
   * has decayed.
   */
  private static final long RESTORED_KEPT_MILLIS = 10_000;

  /**
   * A worker that became suspect, or is no longer suspect.
   *
   * @param worker the worker
   * @param suspect whether it is suspect now
   * @param reason the reason, for a log line
   */
  public record Change(WorkerId worker, boolean suspect, String reason) {}

  private record Restored(long startTimeMillis, double speed, double success) {}

  private final Map<WorkerId, WorkerScore> scores = new TreeMap<>();
  private final Map<WorkerId, WorkerRating> ratings = new TreeMap<>();
  private final Map<WorkerId, Restored> restored = new TreeMap<>();
  private long restoredMillis = Long.MIN_VALUE;

  /** Returns the score of an incarnation; that of another incarnation is dropped. */
  public WorkerScore of(WorkerId worker, long startTimeMillis, String pool, long nowMillis) {
    WorkerScore score = scores.get(worker);
    if (score == null || score.startTimeMillis() != startTimeMillis || !score.pool().equals(pool)) {
      score = new WorkerScore(startTimeMillis, pool);
      scores.put(worker, score);
      ratings.remove(worker);
    }
    Restored line = restored.remove(worker);
    if (line != null && line.startTimeMillis() == startTimeMillis) {
      score.restore(line.speed(), line.success(), nowMillis);
    }
    return score;
  }

  /** Returns the rating of a worker as of the last refresh. */
  public WorkerRating rating(WorkerId worker) {
    return ratings.getOrDefault(worker, WorkerRating.HEALTHY);
  }

  /**
   * Rates all workers anew.
   *
   * @param known the workers that still exist; the scores of others are dropped
   * @param nowMillis the present time
   * @return the workers that became suspect or are no longer suspect
   */
  public List<Change> refresh(Set<WorkerId> known, long nowMillis) {
    restoredMillis = restoredMillis == Long.MIN_VALUE ? nowMillis : restoredMillis;
    if (nowMillis - restoredMillis > RESTORED_KEPT_MILLIS) {
      restored.clear();
    }
    scores.keySet().retainAll(known);
    ratings.keySet().retainAll(known);
    Map<String, OptionalDouble> typical = typical(nowMillis);
    Map<String, Double> success = usualSuccess(nowMillis);
    List<Change> changes = new ArrayList<>();
    scores.forEach(
        (worker, score) -> {
          WorkerRating next =
              score.rating(
                  typical.getOrDefault(score.pool(), OptionalDouble.empty()),
                  success.getOrDefault(score.pool(), 1.0),
                  nowMillis);
          if (next.suspect() != rating(worker).suspect()) {
            changes.add(new Change(worker, next.suspect(), next.reason()));
          }
          ratings.put(worker, next);
        });
    return changes;
  }

  private Map<String, OptionalDouble> typical(long nowMillis) {
    Map<String, List<Double>> pools = new HashMap<>();
    scores
        .values()
        .forEach(
            score ->
                score
                    .estimated(nowMillis)
                    .forEach(
                        speed ->
                            pools
                                .computeIfAbsent(score.pool(), pool -> new ArrayList<>())
                                .add(speed)));
    return pools.entrySet().stream()
        .filter(pool -> pool.getValue().size() >= MIN_WORKERS)
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, pool -> OptionalDouble.of(median(pool.getValue()))));
  }

  private Map<String, Double> usualSuccess(long nowMillis) {
    return scores.values().stream()
        .collect(
            Collectors.groupingBy(
                WorkerScore::pool,
                Collectors.mapping(score -> score.success(nowMillis), Collectors.toList())))
        .entrySet()
        .stream()
        .filter(pool -> pool.getValue().size() >= MIN_WORKERS)
        .collect(Collectors.toMap(Map.Entry::getKey, pool -> median(pool.getValue())));
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0.0);
  }

  @Override
  public boolean owns(String kind) {
    return kind.equals(KIND);
  }

  /** Returns the suspect workers, the worst first. */
  @Override
  public Stream<String> lines() {
    return ratings.entrySet().stream()
        .filter(entry -> entry.getValue().suspect())
        .sorted(Comparator.comparingDouble(entry -> -entry.getValue().slowdown()))
        .limit(MAX_LINES)
        .map(entry -> line(entry.getKey(), entry.getValue()));
  }

  private String line(WorkerId worker, WorkerRating rating) {
    return String.format(
        Locale.ROOT,
        "%s %s %d %.3f %.3f",
        KIND,
        URLEncoder.encode(worker.value(), StandardCharsets.UTF_8),
        scores.get(worker).startTimeMillis(),
        rating.speed(),
        rating.success());
  }

  @Override
  public boolean restore(String[] words) {
    if (words.length != FIELDS || restored.size() >= MAX_LINES) {
      return false;
    }
    WorkerId worker = new WorkerId(URLDecoder.decode(words[1], StandardCharsets.UTF_8));
    Restored line = new Restored(Long.parseLong(words[2]), share(words[3]), share(words[4]));
    restored.put(worker, line);
    return true;
  }

  private static double share(String text) {
    double share = Double.parseDouble(text);
    if (!(share > 0 && share <= 1)) {
      throw new IllegalArgumentException("not a share above 0: " + text);
    }
    return share;
  }
}
