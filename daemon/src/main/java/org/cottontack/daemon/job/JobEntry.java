package org.cottontack.daemon.job;

import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.load.LoadControl;

/**
 * An entry instance for jobs. All instances are equal: each accepts jobs, and one of them is the
 * leader. An instance has no persistent state of its own; all of it is in the platform's store.
 * Confined to the event loop.
 */
public final class JobEntry {

  private static final Logger LOG = LogManager.getLogger(JobEntry.class);

  /**
   * Longest time since the last contact with the rule source while this instance accepts new
   * callers, in milliseconds. It is longer than two unanswered requests for changes of 1 s each.
   */
  private static final long MAX_RULES_AGE_MILLIS = 2_500;

  private final Timers timers;
  private final RuleSource rules;
  private final Intake intake;
  private final Leadership leadership;
  private final WatchedStore store;
  private final WorkerClient workers;
  private final long keepMillis;
  private final LoadControl loadControl;
  private final WorkerRegistry registry;
  private final JobMetrics metrics = new JobMetrics(this);
  private JobTable table = JobTable.EMPTY;
  private Set<DataCentreId> evacuated = Set.of();
  private Leader leader;
  private boolean stopping;

  /**
   * Creates an instance; nothing happens before {@link #start}.
   *
   * @param instance this instance
   * @param keepMillis how long the state of an ended job stays readable
   * @param store the platform's store
   * @param timers the event loop's timers
   * @param rules the source of the table
   * @param registry the list of workers
   * @param workers sends orders to workers
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
    this.loadControl = instance.loadControl();
    this.store = store;
    this.timers = timers;
    this.rules = rules;
    this.registry = registry;
    this.workers = workers;
    String self = instance.name() + "/" + UUID.randomUUID();
    this.leadership = new Leadership(store, timers, instance, self, new TermListener());
    this.intake = new Intake(store, timers, metrics, leadership.admissionGate());
  }

  /** Starts watching the table and joins the election as soon as there is a table. */
  public void start() {
    rules.start(this::apply, this::evacuate);
  }

  private void apply(JobTable next) {
    final boolean first = table.version() < 0;
    // Applying an older table after a newer one would undo an accepted edit.
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

  private final class TermListener implements Leadership.Listener {

    @Override
    public void won(long epoch) {
      Retention retention = new Retention(store, timers, keepMillis);
      leader =
          new Leader(
              store,
              timers,
              workers,
              registry,
              rules,
              leadership,
              metrics,
              retention,
              loadControl,
              epoch);
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

    @Override
    public void startsPermitted() {
      if (leader != null) {
        leader.startsPermitted();
      }
    }

    @Override
    public AdmissionLimits admissionLimits() {
      return leader == null ? AdmissionLimits.NONE : leader.admissionLimits();
    }
  }

  private void endTerm() {
    if (leader != null) {
      leader.stop();
      leader = null;
    }
  }

  /** Returns the table in force on this instance. */
  public JobTable table() {
    return table;
  }

  /** Returns the intake, which accepts and cancels jobs. */
  public Intake intake() {
    return intake;
  }

  /** Returns the epoch of the term in which this instance is the leader, or 0 when it is not. */
  long leadingEpoch() {
    return leader == null ? 0 : leader.epoch();
  }

  /** Returns how long tasks of unreachable workers have to wait at most, in milliseconds. */
  long longestLeaseWaitMillis() {
    return leader == null ? 0 : leader.longestLeaseWaitMillis();
  }

  /** Returns the metrics of this instance. */
  public JobMetrics metrics() {
    return metrics;
  }

  /** Returns whether new callers should be routed to this instance. */
  public boolean ready() {
    boolean rulesAreFresh = timers.now().mono() - rules.lastContactMillis() < MAX_RULES_AGE_MILLIS;
    return !stopping && table.version() >= 0 && rulesAreFresh && !store.unavailable();
  }

  /** Returns whether a graceful stop has begun. */
  public boolean stopping() {
    return stopping;
  }

  /** Stops gracefully: accepts no new callers and releases leadership. */
  public void stop(Runnable done) {
    stopping = true;
    LOG.info(new StringMapMessage().with("event", "instance.stopping"));
    Runnable leave =
        () -> {
          endTerm();
          leadership.leave(done);
        };
    Optional.ofNullable(leader).ifPresentOrElse(leading -> leading.end(leave), leave);
  }
}
