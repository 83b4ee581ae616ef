package org.cottontack.core.admission;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.cottontack.core.load.StoredLines;

/**
 * The distribution of measured over expected duration of a queue's runs. An expected duration is a
 * mean: it does not show that a few runs take many times as long. Each queue has a histogram of the
 * ratio (HdrHistogram by G. Tene, two significant digits). Its state is stored as lines {@code tail
 * QUEUE BUCKET:COUNT ...} with logarithmic buckets, so that a line has a bounded length. The class
 * is confined to one thread.
 */
public final class DurationTails implements StoredLines {

  /** Maximum number of queues. The least recently used one is evicted. */
  static final int MAX_QUEUES = 64;

  /** Number of runs below which a distribution is not used; a tenth of them would be two runs. */
  static final int MIN_RUNS = 20;

  /**
   * Number of runs at which all counts are halved, so that a change of the workload shows within
   * some ten seconds of the usual 100 runs per second.
   */
  static final int MAX_RUNS = 2_000;

  private static final String KIND = "tail";

  /** Ratios are recorded in thousandths. */
  private static final long ONE = 1_000;

  private static final long MAX_RATIO = 100 * ONE;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** Factor between two stored buckets, which bounds the error of a restored ratio to an eighth. */
  private static final double BUCKET_FACTOR = 1.25;

  private static final int MIN_BUCKET = -31;
  private static final int MAX_BUCKET = 21;

  /** Longest escaped name of a queue that is stored, in characters. */
  private static final int MAX_NAME_LENGTH = 200;

  private static final int QUEUE_FIELD = 1;
  private static final int FIRST_COUNT_FIELD = 2;

  private static final class Tail {
    Histogram ratios = new Histogram(1, MAX_RATIO, SIGNIFICANT_DIGITS);
    long lastUse;

    void add(long ratio, long count) {
      ratios.recordValueWithCount(Math.max(1, Math.min(MAX_RATIO, ratio)), count);
      if (ratios.getTotalCount() >= MAX_RUNS) {
        halve();
      }
    }

    private void halve() {
      Histogram halved = new Histogram(1, MAX_RATIO, SIGNIFICANT_DIGITS);
      recorded()
          .forEach(
              value ->
                  halved.recordValueWithCount(
                      value.getValueIteratedTo(), (value.getCountAtValueIteratedTo() + 1) / 2));
      ratios = halved;
    }

    Stream<HistogramIterationValue> recorded() {
      return StreamSupport.stream(ratios.recordedValues().spliterator(), false);
    }

    boolean known() {
      return ratios.getTotalCount() >= MIN_RUNS;
    }
  }

  private final Map<String, Tail> tails = new HashMap<>();
  private long uses;
  private long restored;

  /**
   * Records a run that was neither slowed nor resumed. Durations below 1 ms are ignored.
   *
   * @param queue the name of its queue
   * @param expectedMillis the duration that was expected before the run ended, in milliseconds
   * @param measuredMillis its duration, in milliseconds
   */
  public void record(String queue, long expectedMillis, long measuredMillis) {
    if (expectedMillis > 0 && measuredMillis > 0) {
      use(tails.computeIfAbsent(queue, any -> new Tail()))
          .add(Math.round(ONE * (double) measuredMillis / expectedMillis), 1);
      evict();
    }
  }

  /**
   * Returns a quantile of the duration of a run. It is the expected duration if fewer than 20 runs
   * of the queue are known.
   *
   * @param queue the name of its queue
   * @param expectedMillis its expected duration, in milliseconds
   * @param quantile the share of runs that take at most as long, from 0 to 1
   * @return the duration in milliseconds
   * @throws IllegalArgumentException if the quantile is not from 0 to 1
   */
  public long quantileMillis(String queue, long expectedMillis, double quantile) {
    if (!(quantile >= 0 && quantile <= 1)) {
      throw new IllegalArgumentException("quantile is " + quantile + ", not from 0 to 1");
    }
    return known(queue)
        .map(tail -> scaled(tail.ratios.getValueAtPercentile(100 * quantile), expectedMillis))
        .map(Math::round)
        .orElse(expectedMillis);
  }

  /**
   * Returns the expected remaining duration of a run: the mean over the queue's runs that took
   * longer than the run has taken so far. A run that has taken longer than all of them is expected
   * to take as long again, as in a Pareto distribution of shape 2. If fewer than 20 runs are known,
   * the remaining part of the expected duration is returned, which is 0 for an overdue run.
   *
   * @param queue the name of its queue
   * @param expectedMillis its expected duration, in milliseconds
   * @param elapsedMillis how long it has run at full pace, in milliseconds
   * @return the remaining duration in milliseconds, at least 0
   */
  public long remainingMillis(String queue, long expectedMillis, long elapsedMillis) {
    return known(queue)
        .map(tail -> remaining(tail, expectedMillis, elapsedMillis))
        .orElse(Math.max(0, expectedMillis - elapsedMillis));
  }

  private static long remaining(Tail tail, long expectedMillis, long elapsedMillis) {
    double millis = 0;
    long runs = 0;
    for (HistogramIterationValue value : tail.ratios.recordedValues()) {
      double left = scaled(value.getValueIteratedTo(), expectedMillis) - elapsedMillis;
      if (left > 0) {
        millis += left * value.getCountAtValueIteratedTo();
        runs += value.getCountAtValueIteratedTo();
      }
    }
    return runs > 0 ? Math.round(millis / runs) : Math.max(0, elapsedMillis);
  }

  private static double scaled(long ratio, long expectedMillis) {
    return (double) ratio * expectedMillis / ONE;
  }

  private Optional<Tail> known(String queue) {
    return Optional.ofNullable(tails.get(queue)).map(this::use).filter(Tail::known);
  }

  private Tail use(Tail tail) {
    uses++;
    tail.lastUse = uses;
    return tail;
  }

  private void evict() {
    if (tails.size() > MAX_QUEUES) {
      tails.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().lastUse))
          .map(Map.Entry::getKey)
          .ifPresent(tails::remove);
    }
  }

  @Override
  public boolean owns(String kind) {
    return kind.equals(KIND);
  }

  /** Returns the lines of the queues, the most recently used first. */
  @Override
  public Stream<String> lines() {
    return tails.entrySet().stream()
        .sorted(Comparator.comparingLong(entry -> -entry.getValue().lastUse))
        .flatMap(entry -> line(entry.getKey(), entry.getValue()).stream());
  }

  private static Optional<String> line(String queue, Tail tail) {
    String name = URLEncoder.encode(queue, StandardCharsets.UTF_8);
    if (name.length() > MAX_NAME_LENGTH || tail.ratios.getTotalCount() == 0) {
      return Optional.empty();
    }
    SortedMap<Integer, Long> counts =
        tail.recorded()
            .collect(
                Collectors.toMap(
                    value -> bucket(value.getValueIteratedTo()),
                    HistogramIterationValue::getCountAtValueIteratedTo,
                    Long::sum,
                    TreeMap::new));
    String text =
        counts.entrySet().stream()
            .map(entry -> entry.getKey() + ":" + entry.getValue())
            .collect(Collectors.joining(" "));
    return Optional.of(String.join(" ", KIND, name, text));
  }

  private static int bucket(long ratio) {
    long bucket = Math.round(Math.log((double) ratio / ONE) / Math.log(BUCKET_FACTOR));
    return (int) Math.max(MIN_BUCKET, Math.min(MAX_BUCKET, bucket));
  }

  @Override
  public boolean restore(String[] words) {
    if (!owns(words[0])
        || words.length <= FIRST_COUNT_FIELD
        || words.length > FIRST_COUNT_FIELD + MAX_BUCKET - MIN_BUCKET + 1) {
      return false;
    }
    Tail tail = new Tail();
    Stream.of(words).skip(FIRST_COUNT_FIELD).forEach(word -> restoreBucket(tail, word));
    // The lines of recently used queues come first.
    restored++;
    tail.lastUse = -restored;
    tails.put(URLDecoder.decode(words[QUEUE_FIELD], StandardCharsets.UTF_8), tail);
    evict();
    return true;
  }

  private static void restoreBucket(Tail tail, String word) {
    int colon = word.indexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("no count in: " + word);
    }
    int bucket = Integer.parseInt(word.substring(0, colon));
    long count = Long.parseLong(word.substring(colon + 1));
    if (bucket < MIN_BUCKET || bucket > MAX_BUCKET || count < 1 || count > MAX_RUNS) {
      throw new IllegalArgumentException("out of range: " + word);
    }
    tail.add(Math.round(ONE * Math.pow(BUCKET_FACTOR, bucket)), count);
  }
}
