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
 * Measures what a leader's thread spends its time on, how far it is behind and how late starts
 * leave, and logs all of it as one line every two seconds. A line also has the times that the event
 * loops were busy, and the processor time of the process, which includes compilation and garbage
 * collection.
 */
final class LeaderWork {

  /** What the thread does for the leader; the rest of its time goes to connections. */
  enum Activity {
    /** Handling events in the scheduler. */
    EVENTS("eventsMillis"),
    /** Placing tasks and choosing what to save. */
    DECISIONS("decisionsMillis"),
    /** Sending orders to workers and polling them. */
    ORDERS("ordersMillis"),
    /** Sending saves. */
    SAVES("savesMillis"),
    /** Writing logs. */
    LOGS("logsMillis");

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
  private Map<String, Long> processNanos = Map.of();
  private PlacementWork counted = PlacementWork.NONE;
  private PlacementWork logged = PlacementWork.NONE;
  private long dueMillis;
  private long latestMillis;
  private long loggedMillis;
  private long reports;
  private long starts;
  private long startDelayMillis;
  private long longestStartDelayMillis;

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

  /** Does some work, and adds the time that it takes to an activity. */
  void spend(Activity activity, Runnable work) {
    spent(
        activity,
        () -> {
          work.run();
          return activity;
        });
  }

  /** Counts a report of a worker. */
  void reported() {
    reports++;
  }

  /**
   * Records that a start leaves.
   *
   * @param millis how long ago its run was placed, in milliseconds
   */
  void started(long millis) {
    starts++;
    startDelayMillis += millis;
    longestStartDelayMillis = Math.max(longestStartDelayMillis, millis);
    metrics.startDelayed(millis);
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
      line.with(activity.field, millis(spentNanos.getOrDefault(activity, 0L)));
    }
    Map<String, Long> spent = timers.spentNanos();
    spent.forEach(
        (name, nanos) ->
            line.with(name + "Millis", millis(nanos - processNanos.getOrDefault(name, nanos))));
    processNanos = spent;
    LOG.info(
        line.with("latestMillis", latestMillis)
            .with("reports", reports)
            .with("starts", starts)
            .with("startDelayMillis", starts == 0 ? 0 : startDelayMillis / starts)
            .with("longestStartDelayMillis", longestStartDelayMillis)
            .with("passes", placement.passes())
            .with("searches", placement.searches())
            .with("examined", placement.examined())
            .with("placed", placement.placed()));
    spentNanos.clear();
    latestMillis = 0;
    reports = 0;
    starts = 0;
    startDelayMillis = 0;
    longestStartDelayMillis = 0;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
