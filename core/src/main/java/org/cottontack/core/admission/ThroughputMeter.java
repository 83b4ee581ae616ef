package org.cottontack.core.admission;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Measures the work that a pool finishes for each queue, from ends of runs. Reservations are no
 * measure of it, because best-effort runs are slowed beside services. Work is in thousandths of a
 * core times milliseconds. The class is confined to one thread.
 */
public final class ThroughputMeter {

  /** Period over which throughput is measured, in milliseconds. */
  static final long RATE_MILLIS = 5_000;

  /** Period over which the work served to a size class is counted, in milliseconds. */
  static final long SERVED_MILLIS = 10_000;

  /** Maximum number of pairs of pool and queue. The least recently used one is evicted. */
  static final int MAX_QUEUES = 64;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long BIN_MILLIS = 500;
  private static final int BINS = (int) (SERVED_MILLIS / BIN_MILLIS);

  private record Key(String pool, String queue) {}

  private static final class Bins {
    final Map<SizeClass, double[]> work = new EnumMap<>(SizeClass.class);
    long newest;

    Bins(long newest) {
      this.newest = newest;
    }

    double[] row(SizeClass size) {
      return work.computeIfAbsent(size, any -> new double[BINS]);
    }

    void advance(long bin) {
      LongStream.rangeClosed(Math.max(newest + 1, bin - BINS + 1), bin)
          .forEach(next -> work.values().forEach(row -> row[Math.floorMod(next, BINS)] = 0));
      newest = Math.max(newest, bin);
    }

    double sum(long first) {
      return Stream.of(SizeClass.values()).mapToDouble(size -> sum(size, first)).sum();
    }

    double sum(SizeClass size, long first) {
      return LongStream.rangeClosed(Math.max(first, newest - BINS + 1), newest)
          .mapToDouble(bin -> row(size)[Math.floorMod(bin, BINS)])
          .sum();
    }
  }

  private final Map<Key, Bins> queues = new HashMap<>();

  /**
   * Records the end of a run that was done.
   *
   * @param pool the pool of its worker
   * @param queue the name of its queue
   * @param size the size class of its job
   * @param work the work that it did
   * @param nowMillis the present time, in milliseconds of the steady clock
   */
  public void record(String pool, String queue, SizeClass size, double work, long nowMillis) {
    long bin = Math.floorDiv(nowMillis, BIN_MILLIS);
    Bins bins = queues.computeIfAbsent(new Key(pool, queue), any -> new Bins(bin));
    bins.advance(bin);
    bins.row(size)[Math.floorMod(bin, BINS)] += work;
    if (queues.size() > MAX_QUEUES) {
      queues.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().newest))
          .map(Map.Entry::getKey)
          .ifPresent(queues::remove);
    }
  }

  /**
   * Returns the work that a pool finished for a queue per second, over the last 5 s or over a
   * shorter period.
   *
   * @param pool the pool
   * @param queue the name of the queue
   * @param sinceMillis from when on ends count, in milliseconds of the steady clock; rounded up to
   *     half a second
   * @param nowMillis the present time on that clock
   * @return the work per second; 0 if nothing is known
   */
  public double perSecond(String pool, String queue, long sinceMillis, long nowMillis) {
    long first = -Math.floorDiv(-Math.max(sinceMillis, nowMillis - RATE_MILLIS), BIN_MILLIS);
    long measured = nowMillis - first * BIN_MILLIS;
    return measured <= 0
        ? 0
        : bins(pool, queue, nowMillis).map(bins -> bins.sum(first)).orElse(0.0)
            * MILLIS_PER_SECOND
            / measured;
  }

  /** Returns the work that a pool finished for a size class of a queue in the last 10 s. */
  public double served(String pool, String queue, SizeClass size, long nowMillis) {
    return bins(pool, queue, nowMillis).map(bins -> bins.sum(size, Long.MIN_VALUE)).orElse(0.0);
  }

  private Optional<Bins> bins(String pool, String queue, long nowMillis) {
    Optional<Bins> bins = Optional.ofNullable(queues.get(new Key(pool, queue)));
    bins.ifPresent(known -> known.advance(Math.floorDiv(nowMillis, BIN_MILLIS)));
    return bins;
  }
}
