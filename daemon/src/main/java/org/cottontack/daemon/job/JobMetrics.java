package org.cottontack.daemon.job;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.PlacementWork;
import org.cottontack.daemon.metrics.MetricsText;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/** Counters and latency histograms of jobs; {@code docs/OPERATIONS.md} lists the names. */
public final class JobMetrics {

  /** Maximum number of queues with a counter of their own; the others share one. */
  private static final int MAX_QUEUES = 64;

  private final MetricRegistry registry = new MetricRegistry();
  private final Set<String> rejectedQueues = new HashSet<>();
  private final Map<Class<?>, Counter> countersByType = new HashMap<>();

  /** Registers the gauges of an instance. */
  JobMetrics(JobEntry entry) {
    registry.gauge("table.version", () -> () -> entry.table().version());
    registry.gauge("instance.ready", () -> () -> entry.ready() ? 1 : 0);
    registry.gauge("leader.epoch", () -> entry::leadingEpoch);
    registry.gauge("leader.leaseWait.millis", () -> entry::longestLeaseWaitMillis);
  }

  /** Counts an answer to a caller and records its latency. */
  void answered(String call, Intake.Answer answer, long millis) {
    String name = call + "." + answer.name().toLowerCase(Locale.ROOT);
    timer(name).update(millis, TimeUnit.MILLISECONDS);
  }

  /** Counts a job that admission control rejected and records the age of the limits. */
  void rejected(String queue, long ageMillis) {
    boolean counted =
        rejectedQueues.contains(queue)
            || (rejectedQueues.size() < MAX_QUEUES && rejectedQueues.add(queue));
    count("admission.refused." + (counted ? queue : "other"));
    timer("admission.newsAge").update(ageMillis, TimeUnit.MILLISECONDS);
  }

  /** Counts an event that the leader handled; start results are also counted by result. */
  void event(JobEvent event) {
    if (event instanceof JobEvent.StartEnded start) {
      count("starts." + start.result().name());
    }
    count("events.", event.getClass());
  }

  /**
   * Counts an effect of the leader; log events are also counted by name, because there are few
   * distinct names.
   */
  void effect(JobEffect effect) {
    if (effect instanceof JobEffect.Note note) {
      count("events." + note.name());
    }
    count("effects.", effect.getClass());
  }

  /** Records how long a scheduling decision took. */
  void decided(long nanos) {
    timer("leader.decision").update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records how late a tick of the leader was, because other work occupied the thread. */
  void late(long millis) {
    timer("leader.late").update(millis, TimeUnit.MILLISECONDS);
  }

  /** Records how long a start order left after its run had been placed. */
  void startDelayed(long millis) {
    timer("leader.startDelay").update(millis, TimeUnit.MILLISECONDS);
  }

  /** Counts the work of placement. */
  void placed(PlacementWork work) {
    registry.counter("placement.passes").inc(work.passes());
    registry.counter("placement.searches").inc(work.searches());
    registry.counter("placement.examined").inc(work.examined());
    registry.counter("placement.placed").inc(work.placed());
  }

  /** Records the age of the cancellation data when a start order was sent. */
  void started(long ageMillis) {
    timer("leader.newsAge").update(ageMillis, TimeUnit.MILLISECONDS);
  }

  /** Records how long a save of progress took until it was answered. */
  void saved(long millis) {
    timer("leader.save").update(millis, TimeUnit.MILLISECONDS);
  }

  private Timer timer(String name) {
    return registry.timer(name, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()));
  }

  private void count(String name) {
    registry.counter(name.toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts an event or effect by its type; there are thousands a second. */
  private void count(String prefix, Class<?> type) {
    Counter counter = countersByType.get(type);
    if (counter == null) {
      counter = registry.counter((prefix + type.getSimpleName()).toLowerCase(Locale.ROOT));
      countersByType.put(type, counter);
    }
    counter.inc();
  }

  /** Returns all metrics as text, one sample per line. */
  public String text() {
    return MetricsText.of(registry);
  }
}
