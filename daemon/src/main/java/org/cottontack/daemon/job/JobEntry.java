package org.cottontack.daemon.job;

import java.util.Set;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.JobTable;

/**
 * An entry instance for jobs. All instances are equal: each takes jobs in, one of them leads. It
 * keeps nothing of its own; what lasts is in the platform's store. Confined to the event loop.
 */
public final class JobEntry {

  private static final Logger LOG = LogManager.getLogger(JobEntry.class);

  /**
   * How long ago the rules may have been told last for this instance to take callers, in
   * milliseconds: over two unanswered waits of 1 s for news.
   */
  private static final long RULES_AGE_MILLIS = 2_500;

  private final Timers timers;
  private final RuleSource rules;
  private final Intake intake;
  private final Leadership leadership;
  private final WatchedStore store;
  private final WorkerClient workers;
  private final long keepMillis;
  private final WorkerRegistry registry;
  private final JobMetrics metrics = new JobMetrics(this);
  private JobTable table = JobTable.EMPTY;
  private Set<DataCentreId> evacuated = Set.of();
  private Leader leader;
  private boolean stopping;

  /**
   * Creates an instance that does nothing yet.
   *
   * @param instance this instance
   * @param keepMillis how long the state of a job that ended stays readable
   * @param store the platform's store
   * @param timers the event loop's timers
   * @param rules where the table comes from
   * @param registry the list of workers
   * @param workers orders to workers
   */
  public JobEntry(
      Instance instance,
      long keepMillis,
      WatchedStore store,
      Timers timers,
      RuleSource rules,
      WorkerRegistry registry,
      WorkerClient workers) {
    this.keepMillis = keepMillis;
    this.store = store;
    this.timers = timers;
    this.rules = rules;
    this.registry = registry;
    this.workers = workers;
    this.intake = new Intake(store, timers, metrics);
    String self = instance.name() + "/" + UUID.randomUUID();
    this.leadership = new Leadership(store, timers, instance, self, new Terms());
  }

  /** Begins to follow the table and, once there is one, to stand for election. */
  public void start() {
    rules.start(this::apply, this::evacuate);
  }

  private void apply(JobTable next) {
    final boolean first = table.version() < 0;
    // An older table after a newer one would undo an accepted edit.
    if (next.version() <= table.version()) {
      return;
    }
    table = next;
    LOG.info(
        new StringMapMessage()
            .with("event", "table.changed")
            .with("version", next.version())
            .with("queues", next.queues().size()));
    if (leader != null) {
      leader.table(next);
    }
    if (first) {
      leadership.start();
    }
  }

  private void evacuate(Set<DataCentreId> dataCentres) {
    evacuated = dataCentres;
    if (leader != null) {
      leader.evacuate(dataCentres);
    }
  }

  private final class Terms implements Leadership.Listener {

    @Override
    public void won(long epoch) {
      Retention retention = new Retention(store, timers, keepMillis);
      leader =
          new Leader(
              store, timers, workers, registry, rules, leadership, metrics, retention, epoch);
      leader.table(table);
      leader.evacuate(evacuated);
      leader.start();
    }

    @Override
    public void lost() {
      endTerm();
    }

    @Override
    public boolean mayYieldLeadershipTo(String dataCentre) {
      return leader != null && leader.mayYieldLeadershipTo(dataCentre);
    }
  }

  private void endTerm() {
    if (leader != null) {
      leader.stop();
      leader = null;
    }
  }

  /** Returns the rules in force here. */
  public JobTable table() {
    return table;
  }

  /** Returns what takes jobs in. */
  public Intake intake() {
    return intake;
  }

  /** Returns the epoch of the term this instance leads, or 0 when it does not. */
  long leadingEpoch() {
    return leader == null ? 0 : leader.epoch();
  }

  /** Returns counters and histograms. */
  public JobMetrics metrics() {
    return metrics;
  }

  /** Returns whether this instance should get new callers. */
  public boolean ready() {
    boolean rulesAreNew = timers.now().mono() - rules.lastContactMillis() < RULES_AGE_MILLIS;
    return !stopping && table.version() >= 0 && rulesAreNew && !store.away();
  }

  /** Returns whether this instance is about to stop. */
  public boolean stopping() {
    return stopping;
  }

  /** Stops gracefully: takes no new callers and hands leadership back. */
  public void stop(Runnable done) {
    stopping = true;
    LOG.info(new StringMapMessage().with("event", "instance.stopping"));
    endTerm();
    leadership.leave(done);
  }
}
