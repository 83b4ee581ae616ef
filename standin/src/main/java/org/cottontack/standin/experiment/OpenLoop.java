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
 * Open-loop load generator: sends requests at times fixed in advance, whether or not earlier
 * requests were answered. Each latency is measured from the planned send time, so that the
 * latencies include the delays caused by a stall.
 */
final class OpenLoop {

  private static final long MAX_MICROS = 60_000_000;

  private final HttpClient client;

  OpenLoop(HttpClient client) {
    this.client = client;
  }

  /**
   * Counts and latencies of one load run.
   *
   * @param micros latencies of the answers with status 200, in microseconds
   * @param succeeded number of answers with status 200
   * @param failed number of all other results
   */
  record Result(Histogram micros, long succeeded, long failed) {

    double p99Millis() {
      return micros.getValueAtPercentile(99) / 1_000.0;
    }

    double p50Millis() {
      return micros.getValueAtPercentile(50) / 1_000.0;
    }
  }

  Result run(double perSecond, double seconds, LongFunction<HttpClient.Spec> requests) {
    Histogram micros = new ConcurrentHistogram(MAX_MICROS, 3);
    AtomicLong succeeded = new AtomicLong();
    AtomicLong failed = new AtomicLong();
    long total = Math.round(perSecond * seconds);
    long start = System.nanoTime();
    for (long i = 0; i < total; i++) {
      long planned = start + Math.round(i / perSecond * 1e9);
      pauseUntil(planned);
      client.call(
          requests.apply(i),
          result -> {
            count(result, micros, planned, succeeded);
            if (!result.is(200)) {
              failed.incrementAndGet();
            }
          });
    }
    ExperimentCluster.waitUntil(() -> succeeded.get() + failed.get() >= total);
    return new Result(micros, succeeded.get(), failed.get());
  }

  private static void count(
      HttpResult result, Histogram micros, long planned, AtomicLong succeeded) {
    if (result.is(200)) {
      long taken = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
      micros.recordValue(Math.min(MAX_MICROS, Math.max(1, taken)));
      succeeded.incrementAndGet();
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
