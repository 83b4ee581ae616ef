package org.cottontack.daemon.job;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.daemon.metrics.MetricsText;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/** Counters and latency histograms of jobs; {@code docs/OPERATIONS.md} lists the names. */
public final class JobMetrics {

  private final MetricRegistry registry = new MetricRegistry();

  /** Registers what an instance always shows. */
  JobMetrics(JobEntry entry) {
    registry.gauge("table.version", () -> () -> entry.table().version());
    registry.gauge("instance.ready", () -> () -> entry.ready() ? 1 : 0);
    registry.gauge("leader.epoch", () -> entry::leadingEpoch);
  }

  /** Counts an answer to a caller and the time it took. */
  void answered(String call, Intake.Answer answer, long millis) {
    String name = call + "." + answer.name().toLowerCase(Locale.ROOT);
    timer(name).update(millis, TimeUnit.MILLISECONDS);
  }

  /** Counts an event of the leader, and starts by their result. */
  void event(JobEvent event) {
    if (event instanceof JobEvent.StartEnded start) {
      count("starts." + start.result().name());
    }
    count("events." + event.getClass().getSimpleName());
  }

  /** Counts an effect of the leader, and log lines by their event: those are few and fixed. */
  void effect(JobEffect effect) {
    if (effect instanceof JobEffect.Note note) {
      count("events." + note.name());
    }
    count("effects." + effect.getClass().getSimpleName());
  }

  /** Records the time a decision took. */
  void decided(long nanos) {
    timer("leader.decision").update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records how old the news of cancellations was with which a start left. */
  void started(long newsMillis) {
    timer("leader.newsAge").update(newsMillis, TimeUnit.MILLISECONDS);
  }

  /** Records the time until a save of progress was answered. */
  void saved(long millis) {
    timer("leader.save").update(millis, TimeUnit.MILLISECONDS);
  }

  private Timer timer(String name) {
    return registry.timer(name, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()));
  }

  private void count(String name) {
    registry.counter(name.toLowerCase(Locale.ROOT)).inc();
  }

  /** Returns all metrics as text, one sample a line. */
  public String text() {
    return MetricsText.of(registry);
  }
}
