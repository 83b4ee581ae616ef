package org.cottontack.standin.experiment;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;

/**
 * Sends requests at times fixed in advance, whether earlier ones were answered or not, and counts
 * each from its planned time, so that a stall is not left out of the latencies.
 */
final class OpenLoop {

  private static final long HIGHEST_MICROS = 60_000_000;

  private final HttpClient client;

  OpenLoop(HttpClient client) {
    this.client = client;
  }

  /**
   * What came of a run.
   *
   * @param micros latencies of good answers in microseconds
   * @param good answers with status 200
   * @param other everything else
   */
  record Result(Histogram micros, long good, long other) {

    double p99Millis() {
      return micros.getValueAtPercentile(99) / 1_000.0;
    }

    double p50Millis() {
      return micros.getValueAtPercentile(50) / 1_000.0;
    }
  }

  Result run(double perSecond, double seconds, LongFunction<HttpClient.Spec> requests) {
    Histogram micros = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    AtomicLong good = new AtomicLong();
    AtomicLong other = new AtomicLong();
    long total = Math.round(perSecond * seconds);
    long start = System.nanoTime();
    for (long i = 0; i < total; i++) {
      long planned = start + Math.round(i / perSecond * 1e9);
      pauseUntil(planned);
      client.call(
          requests.apply(i),
          result -> {
            count(result, micros, planned, good);
            if (!result.is(200)) {
              other.incrementAndGet();
            }
          });
    }
    Bench.until(() -> good.get() + other.get() >= total);
    return new Result(micros, good.get(), other.get());
  }

  private static void count(HttpResult result, Histogram micros, long planned, AtomicLong good) {
    if (result.is(200)) {
      long taken = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
      micros.recordValue(Math.min(HIGHEST_MICROS, Math.max(1, taken)));
      good.incrementAndGet();
    }
  }

  private static void pauseUntil(long planned) {
    long left = planned - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = planned - System.nanoTime();
    }
  }
}
