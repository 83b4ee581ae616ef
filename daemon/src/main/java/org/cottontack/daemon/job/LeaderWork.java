package org.cottontack.daemon.job;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.PlacementWork;

/**
 * Measures what a leader's thread spends its time on and how far it is behind, and logs both as one
 * line every two seconds.
 */
final class LeaderWork {

  /** What the thread does for the leader; the rest of its time goes to connections. */
  enum Activity {
    /** Handling events in the scheduler. */
    EVENTS("eventsMillis"),
    /** Placing tasks and choosing what to save. */
    DECISIONS("decisionsMillis"),
    /** Sending orders and saves, and writing logs. */
    EFFECTS("effectsMillis");

    private final String field;

    Activity(String field) {
      this.field = field;
    }
  }

  private static final Logger LOG = LogManager.getLogger(LeaderWork.class);
  private static final long LOG_MILLIS = 2_000;

  private final Timers timers;
  private final JobMetrics metrics;
  private final Map<Activity, Long> spentNanos = new EnumMap<>(Activity.class);
  private PlacementWork counted = PlacementWork.NONE;
  private PlacementWork logged = PlacementWork.NONE;
  private long dueMillis;
  private long latestMillis;
  private long loggedMillis;

  LeaderWork(Timers timers, JobMetrics metrics) {
    this.timers = timers;
    this.metrics = metrics;
  }

  /** Returns the result of some work, and adds the time that it takes to an activity. */
  <T> T spent(Activity activity, Supplier<T> work) {
    long began = timers.nanoTime();
    T result = work.get();
    spentNanos.merge(activity, timers.nanoTime() - began, Long::sum);
    return result;
  }

  /**
   * Records a tick, and how late it is.
   *
   * @param nextMillis when the next tick is due, in milliseconds from now
   * @param placement the work of placement in this term
   */
  void ticked(long nextMillis, PlacementWork placement) {
    long now = timers.now().mono();
    long late = dueMillis == 0 ? 0 : Math.max(0, now - dueMillis);
    dueMillis = now + nextMillis;
    latestMillis = Math.max(latestMillis, late);
    metrics.late(late);
    metrics.placed(placement.since(counted));
    counted = placement;
    if (now - loggedMillis >= LOG_MILLIS) {
      log(placement.since(logged));
      logged = placement;
      loggedMillis = now;
    }
  }

  private void log(PlacementWork placement) {
    StringMapMessage line = new StringMapMessage().with("event", "leader.work");
    for (Activity activity : Activity.values()) {
      line.with(
          activity.field, TimeUnit.NANOSECONDS.toMillis(spentNanos.getOrDefault(activity, 0L)));
    }
    LOG.info(
        line.with("latestMillis", latestMillis)
            .with("passes", placement.passes())
            .with("searches", placement.searches())
            .with("examined", placement.examined())
            .with("placed", placement.placed()));
    spentNanos.clear();
    latestMillis = 0;
  }
}
