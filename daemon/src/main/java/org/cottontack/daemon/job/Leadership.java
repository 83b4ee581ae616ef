package org.cottontack.daemon.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.Moment;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.load.LoadPart;
import org.cottontack.core.peer.Payload;

/**
 * Elects one leader among the instances through two rows of the store: the election row names the
 * leader and changes only with a takeover, the lease row changes with each renewal. Confined to the
 * event loop.
 */
final class Leadership {

  private static final Logger LOG = LogManager.getLogger(Leadership.class);

  /**
   * Time between two renewals, in milliseconds: a lease of 2 s stays valid when two of them are
   * lost.
   */
  private static final long RENEW_MILLIS = 500;

  /** Longest wait for a change of the lease, in milliseconds: two such waits fit into the lease. */
  private static final long MAX_WATCH_MILLIS = 600;

  /** Pause after a call that failed, in milliseconds. */
  private static final long PAUSE_MILLIS = 200;

  /** Timeout of a commit such as a renewal, in milliseconds. */
  private static final long COMMIT_TIMEOUT_MILLIS = 1_800;

  /**
   * Range of the random delay before a takeover, in milliseconds, which spreads the takeovers of
   * several instances.
   */
  private static final long TAKEOVER_SPREAD_MILLIS = 150;

  /**
   * Minimum time between two handovers by this instance, in milliseconds. If no other instance
   * reaches more workers, a shorter interval would leave the remaining tasks without a leader for a
   * third of the time.
   */
  private static final long MIN_HANDOVER_INTERVAL_MILLIS = 30_000;

  /**
   * Time after a leader has begun in which it grants no lease beyond those that it inherited, in
   * milliseconds. It has then noticed which workers do not answer, and stored when their leases
   * end. If it is killed before, the next leader waits for them no longer than this one would have.
   */
  private static final long INHERITED_GRANTS_MILLIS = 1_500;

  /**
   * Shortest time that inherited leases last while a leader grants none beyond them, in
   * milliseconds: longer than two elections after a loss. The next leaders can still renew the
   * leases of workers that they reach.
   */
  private static final long MIN_GRANT_MILLIS = 4_500;

  private static final RowKey ELECTION =
      new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "election");
  private static final RowKey LEASE = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "lease");

  /**
   * Head start of other data centres after a leader has released the lease because it was cut off,
   * in milliseconds: longer than several usual elections, and shorter than a takeover without a
   * handover.
   */
  private static final long HEAD_START_MILLIS = 1_500;

  /**
   * A renewal of the lease.
   *
   * @param term the epoch of this leader
   * @param number how often this process had renewed the lease
   * @param sent when it was sent
   * @param statesGrant whether it states that this leader grants leases to workers
   */
  private record Renewal(long term, long number, Moment sent, boolean statesGrant) {}

  private final TableStore store;
  private final Timers timers;
  private final String name;
  private final String self;
  private final String dataCentre;
  private final Listener listener;
  private final LeadershipHandover handover;
  private final LeaseRow leaseRow;
  private final boolean publishesLimits;
  private final AdmissionRow admissionRow = new AdmissionRow();
  private final AdmissionGate admissionGate;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private LeaderLease lease = new LeaderLease();
  private long position;
  private boolean leading;
  private boolean stopped;
  private long epoch;
  private long electionVersion;
  private long handedOverMillis = Long.MIN_VALUE / 2;
  private Optional<Moment> begun = Optional.empty();

  /** Called once this leader may grant leases that last long enough. */
  private Optional<Runnable> onGrant = Optional.empty();

  private Moment grantRenewal;

  /** Whether renewals state that this leader grants leases, although it may not have begun. */
  private boolean announced;

  /** Whether this leader has granted leases beyond those that it inherited. */
  private boolean grants;

  private long renewals;
  private long renewalSentMillis;
  private long leaseVersion;
  private boolean leaseVersionKnown;
  private long campaignEpoch;
  private long campaignLeaseVersion;
  private Moment campaignSent;

  /** Listener for the terms of this instance; called on the event loop. */
  interface Listener {

    /** Called when this instance has won a term. */
    void won(long epoch);

    /** Called when a term ends while this process goes on. */
    void lost();

    /**
     * Returns whether an instance in the given data centre may lead in place of this one. A leader
     * that has not begun has polled no worker, so it cannot rule this out, and returns true.
     */
    boolean mayYieldLeadershipTo(String dataCentre);

    /** Called when a stored renewal permits starts that were not permitted before it. */
    default void startsPermitted() {}

    /** Returns the jobs that instances are to reject at present, by the leader's decision. */
    default AdmissionLimits admissionLimits() {
      return AdmissionLimits.NONE;
    }
  }

  /**
   * Creates a candidate; {@link #start} begins to watch the election.
   *
   * @param instance this instance
   * @param self this incarnation: the name, a slash and a part that differs for each incarnation
   * @param listener notified of the terms of this instance
   */
  Leadership(TableStore store, Timers timers, Instance instance, String self, Listener listener) {
    this.store = store;
    this.timers = timers;
    this.name = instance.name();
    this.self = self;
    this.dataCentre = instance.dataCentre();
    this.listener = listener;
    this.handover = new LeadershipHandover(instance, MIN_HANDOVER_INTERVAL_MILLIS);
    this.leaseRow = new LeaseRow(self);
    this.publishesLimits = instance.loadControl().has(LoadPart.ADMISSION);
    this.admissionGate = new AdmissionGate(timers, publishesLimits);
  }

  void start() {
    if (stopped) {
      return;
    }
    Moment requestSent = timers.now();
    store.scan(
        JobTables.LEADER,
        ELECTION.part(),
        "",
        scan -> {
          if (!scan.answered()) {
            timers.after(PAUSE_MILLIS, this::start);
            return;
          }
          leaseRow.updateClock(requestSent, timers.now(), scan.storeMillis());
          updateRows(requestSent, scan.rows());
          position = scan.version();
          decide();
        });
  }

  /** Returns the gate for submissions to this instance. */
  AdmissionGate admissionGate() {
    return admissionGate;
  }

  /** Returns whether this instance leads. */
  boolean leading() {
    return leading;
  }

  boolean mayStart() {
    return leading && lease.mayStart(timers.now());
  }

  /**
   * Lets the row state already that this leader grants leases, if the inherited ones end soon.
   * Workers would otherwise wait for this write until their leases are renewed.
   */
  void announceGrants() {
    if (leftMillis(timers.now()) < MIN_GRANT_MILLIS) {
      announced = true;
      sendRenewal(epoch);
    }
  }

  /**
   * Records that this leader has taken over and is about to grant leases to workers. Leases that
   * end no later than the inherited ones may be granted at once. Once these end soon, a renewal has
   * to state that this leader grants some itself, and to be stored, before longer ones are granted.
   *
   * @param ready called once this leader may grant leases
   */
  void begin(Runnable ready) {
    Moment now = timers.now();
    begun = Optional.of(now);
    if (leftMillis(now) >= MIN_GRANT_MILLIS) {
      ready.run();
      return;
    }
    onGrant = Optional.of(ready);
    if (!announced) {
      sendRenewal(epoch);
    }
  }

  /** Returns how long leases that are granted now last at the most. */
  private long leftMillis(Moment now) {
    return LeaderLease.GRANT_MILLIS - now.longestSince(grantRenewal);
  }

  /** Returns whether a renewal that is sent now has to state that this leader grants leases. */
  private boolean statesGrant(Moment now) {
    boolean early =
        begun.filter(since -> now.longestSince(since) < INHERITED_GRANTS_MILLIS).isPresent();
    boolean endSoon = leftMillis(now) < MIN_GRANT_MILLIS + RENEW_MILLIS;
    return announced || grants || (begun.isPresent() && (endSoon || !early));
  }

  /** Returns when the last renewal of this term that was stored was sent. */
  Moment renewal() {
    return lease.renewal();
  }

  /**
   * Returns the renewal on which this leader bases leases of workers. The row states leases that
   * last {@link LeaderLease#GRANT_MILLIS} from then.
   */
  Moment grantRenewal() {
    return grantRenewal;
  }

  /**
   * Returns the time on the monotonic clock, in milliseconds, at which all worker leases granted by
   * earlier leaders have ended: no lease lasts longer than the last renewal of the leader that
   * granted it allows.
   */
  long inheritedLeaseEndMillis() {
    return leaseRow.inheritedLeaseEndMillis();
  }

  /** Returns the store's clock, which is updated with each renewal. */
  StoreClock storeClock() {
    return leaseRow.storeClock();
  }

  private void updateRows(Moment requestSent, List<Row> changes) {
    changes.forEach(row -> rows.put(row.at(), row));
    if (publishesLimits) {
      admissionGate.observed(
          requestSent,
          Optional.ofNullable(rows.get(ELECTION)).map(Leadership::epochOf).orElse(0L),
          Optional.ofNullable(rows.get(LEASE)),
          Optional.ofNullable(rows.get(AdmissionRow.KEY)));
    }
  }

  private void decide() {
    if (stopped || leading) {
      return;
    }
    handover.observed(timers.now().mono(), rows);
    Row knownLease = rows.get(LEASE);
    if (knownLease != null) {
      lease.observed(timers.now().mono(), knownLease.version());
    }
    Optional<LeaseText> text =
        Optional.ofNullable(knownLease).map(row -> LeaseText.parse(row.text()));
    boolean leaseFree =
        text.isEmpty() || text.get().isFree() || heldByOwnPreviousIncarnation(text.get().holder());
    if (leaseFree || lease.expired()) {
      long spread = ThreadLocalRandom.current().nextLong(TAKEOVER_SPREAD_MILLIS);
      boolean cutOff = text.isPresent() && text.get().cutOff().equals(dataCentre);
      long wait = (leaseFree ? spread / 10 : spread) + (cutOff ? HEAD_START_MILLIS : 0);
      Row election = rows.get(ELECTION);
      long delay =
          wait + (election == null ? 0 : handover.takeoverDelayMillis(rows, epochOf(election)));
      timers.after(delay, () -> campaign(knownLease == null ? 0 : knownLease.version()));
    } else {
      requestLeadership();
      watch();
    }
  }

  private void requestLeadership() {
    Row election = rows.get(ELECTION);
    if (election != null) {
      handover
          .requestLeadership(timers.now().mono(), rows, election, epochOf(election))
          .ifPresent(
              transaction -> {
                log("leader.requested", "epoch=" + epochOf(election));
                store.commit(transaction, COMMIT_TIMEOUT_MILLIS, result -> {});
              });
    }
  }

  private static long epochOf(Row election) {
    return Long.parseLong(election.text().split(" ", 2)[0]);
  }

  /**
   * Returns whether the holder is an earlier process of this instance. That process has ended, so
   * its lease need not be waited for; after a power failure of all instances this saves the whole
   * wait.
   */
  private boolean heldByOwnPreviousIncarnation(String holder) {
    return holder.startsWith(name + "/") && !holder.startsWith(self);
  }

  private void watch() {
    Moment requestSent = timers.now();
    store.watch(
        JobTables.LEADER,
        position,
        Math.min(MAX_WATCH_MILLIS, lease.untilExpiryMillis()),
        changes -> {
          switch (changes.outcome()) {
            case CURRENT -> {
              updateRows(requestSent, changes.rows());
              position = Math.max(position, changes.version());
              decide();
            }
            case FORGOTTEN -> start();
            case FAILED -> timers.after(PAUSE_MILLIS, this::watch);
            default -> throw new IllegalStateException("no such outcome: " + changes.outcome());
          }
        });
  }

  private void campaign(long leaseVersion) {
    Row election = rows.get(ELECTION);
    long next = election == null ? 1 : epochOf(election) + 1;
    // All attempts at an epoch write the same name. If this name is found in the store, the first
    // attempt may have written it. A lease counted from the last attempt would then last longer
    // than other instances wait.
    final Moment now = timers.now();
    final boolean again = next == campaignEpoch && leaseVersion == campaignLeaseVersion;
    campaignLeaseVersion = leaseVersion;
    if (next != campaignEpoch) {
      campaignEpoch = next;
      campaignSent = now;
    }
    final Moment sent = campaignSent;
    // The transaction succeeds only if nobody has renewed since this version of the lease row.
    Optional<Row> previous = Optional.ofNullable(rows.get(LEASE)).filter(row -> leaseVersion > 0);
    leaseRow.inherit(
        previous.map(row -> LeaseText.parse(row.text())), lease.changedMillis(), now, again);
    Transaction transaction =
        new Transaction(
            Map.of(ELECTION, election == null ? 0 : election.version(), LEASE, leaseVersion),
            Map.of(
                ELECTION,
                Payload.of(next + " " + self),
                LEASE,
                leaseRow.held(renewals, now, true, false),
                LeadershipHandover.CAPACITY,
                handover.capacityPayload()),
            List.of());
    store.commit(
        transaction,
        COMMIT_TIMEOUT_MILLIS,
        result -> {
          if (result.outcome() == CommitResult.Outcome.DONE) {
            won(next, result.version(), sent);
          } else {
            log("leader.notWon", "epoch=" + next + " " + result.outcome());
            checkTakeover(next, sent);
          }
        });
  }

  /**
   * Checks whether a takeover was stored although it was not confirmed: its response may have been
   * lost.
   */
  private void checkTakeover(long next, Moment sent) {
    Moment requestSent = timers.now();
    store.scan(
        JobTables.LEADER,
        ELECTION.part(),
        "",
        scan -> {
          if (!scan.answered()) {
            timers.after(PAUSE_MILLIS, () -> checkTakeover(next, sent));
            return;
          }
          updateRows(requestSent, scan.rows());
          position = scan.version();
          Row election = rows.get(ELECTION);
          if (election != null && election.text().equals(next + " " + self)) {
            won(next, election.version(), sent);
          } else {
            decide();
          }
        });
  }

  private void won(long won, long version, Moment sent) {
    if (stopped) {
      return;
    }
    leading = true;
    begun = Optional.empty();
    onGrant = Optional.empty();
    grantRenewal = leaseRow.inheritedRenewal();
    grants = false;
    announced = false;
    epoch = won;
    electionVersion = version;
    leaseVersion = version;
    leaseVersionKnown = true;
    lease = new LeaderLease();
    lease.renewed(sent);
    renewalSentMillis = sent.mono();
    log("leader.won", "epoch=" + epoch);
    handover.began(rows);
    admissionRow.began(won);
    admissionGate.termBegan(listener::admissionLimits, this::renewal);
    listener.won(won);
    timers.after(RENEW_MILLIS, () -> renew(won));
  }

  private void renew(long term) {
    if (!leading || epoch != term) {
      return;
    }
    renewIfDue();
    long sinceLast = timers.now().mono() - renewalSentMillis;
    timers.after(RENEW_MILLIS - sinceLast, () -> renew(term));
  }

  /**
   * Renews the lease if a renewal is due. Code that keeps the event loop busy calls this before
   * each piece of work. With the timer alone, renewals came 1.4 s late behind hundreds of responses
   * and a decision of a second, and a small leader lost its lease in the load after its takeover.
   */
  void renewIfDue() {
    if (leading && timers.now().mono() - renewalSentMillis >= RENEW_MILLIS) {
      sendRenewal(epoch);
    }
  }

  private void sendRenewal(long term) {
    renewals++;
    final Moment sent = timers.now();
    renewalSentMillis = sent.mono();
    Map<RowKey, Long> expected = new HashMap<>();
    expected.put(ELECTION, electionVersion);
    expected.put(LeadershipHandover.REQUEST, handover.requestVersion());
    // A duplicate of an unanswered renewal may be carried out late. If it wrote its old time over a
    // newer one, the next leader would not wait for all leases. So a renewal states its time only
    // if it expects the row version that our last renewal wrote; any other renewal states none.
    boolean includesTime = leaseVersionKnown;
    if (includesTime) {
      expected.put(LEASE, leaseVersion);
    }
    leaseVersionKnown = false;
    final boolean statesGrant = statesGrant(sent);
    Payload text = leaseRow.held(renewals, sent, includesTime, statesGrant);
    Map<RowKey, Payload> writes = new HashMap<>();
    writes.put(LEASE, text);
    if (publishesLimits && includesTime) {
      admissionRow
          .send(renewals, listener.admissionLimits())
          .ifPresent(limits -> writes.put(AdmissionRow.KEY, limits));
    }
    Transaction transaction = new Transaction(expected, writes, List.of());
    Renewal renewal = new Renewal(term, renewals, sent, statesGrant);
    store.commit(transaction, COMMIT_TIMEOUT_MILLIS, result -> renewed(renewal, result));
  }

  private void renewed(Renewal renewal, CommitResult result) {
    final long term = renewal.term();
    if (!leading || epoch != term) {
      return;
    }
    leaseRow.updateClock(renewal.sent(), timers.now(), result.storeMillis());
    if (result.outcome() == CommitResult.Outcome.DONE) {
      final boolean permitted = mayStart();
      lease.renewed(renewal.sent());
      admissionRow.stored(renewal.number());
      leaseVersion = Math.max(leaseVersion, result.version());
      // When a response is late, newer renewals are already in flight. A renewal that expected the
      // row version of this one would conflict, and so would each later one while responses are
      // late.
      leaseVersionKnown = renewal.number() == renewals;
      yieldLeadership();
      if (leading && renewal.statesGrant()) {
        grant(renewal.sent());
      }
      if (!permitted && mayStart()) {
        listener.startsPermitted();
      }
    } else if (result.outcome() == CommitResult.Outcome.CONFLICT) {
      conflicted(term, result);
    } else {
      log("leader.renewalFailed", result.outcome().toString());
    }
  }

  /** Bases leases on a stored renewal that states them. */
  private void grant(Moment sent) {
    if (!grants || sent.mono() > grantRenewal.mono()) {
      grantRenewal = sent;
      grants = true;
    }
    Optional<Runnable> ready = onGrant;
    onGrant = Optional.empty();
    ready.ifPresent(Runnable::run);
  }

  /**
   * Handles a conflict of a renewal: another instance has taken over, or one has requested the
   * leadership.
   */
  private void conflicted(long term, CommitResult result) {
    if (result.current(ELECTION).map(Row::version).orElse(0L) != electionVersion) {
      stepDown("another instance has taken over");
    } else if (handover.updateRequest(term, result.current(LeadershipHandover.REQUEST))) {
      yieldLeadership();
      if (leading) {
        sendRenewal(term);
      }
    } else {
      // Only the lease row differs, because of a late duplicate of our own renewal. The repeated
      // renewal expects no version of that row.
      sendRenewal(term);
    }
  }

  /**
   * Yields leadership to a larger instance that has requested it. That instance reached the store
   * to request it, but it may be cut off from most workers if this leader does not reach its data
   * centre; such a request is not answered.
   */
  private void yieldLeadership() {
    handover
        .pendingRequest()
        .filter(request -> listener.mayYieldLeadershipTo(request.dataCentre()))
        .ifPresent(
            request ->
                handOver(
                    "a larger instance asks",
                    Map.of(
                        LEASE,
                        free(""),
                        LeadershipHandover.CAPACITY,
                        Payload.of(request.capacity().text()),
                        LeadershipHandover.REQUEST,
                        LeadershipHandover.handedOver(epoch))));
  }

  /** Ends the term of this instance, if it leads, and watches the next leader. */
  void stepDown(String reason) {
    if (leading) {
      endTerm(reason);
      timers.after(PAUSE_MILLIS, this::start);
    }
  }

  private void endTerm(String reason) {
    log("leader.lost", "epoch=" + epoch + " " + reason);
    leading = false;
    admissionGate.termEnded();
    lease = new LeaderLease();
    handover.ended(timers.now().mono());
    listener.lost();
  }

  /**
   * Ends the term of this instance and releases the lease, with a head start for instances of other
   * data centres, because an instance in the same data centre is probably cut off as well.
   */
  void handOver(String reason) {
    handOver(
        reason,
        Map.of(
            LEASE,
            free(dataCentre),
            LeadershipHandover.REQUEST,
            LeadershipHandover.handedOver(epoch)));
  }

  private void handOver(String reason, Map<RowKey, Payload> writes) {
    long now = timers.now().mono();
    if (leading && now - handedOverMillis >= MIN_HANDOVER_INTERVAL_MILLIS) {
      handedOverMillis = now;
      endTerm(reason);
      releaseLease(writes, result -> timers.after(PAUSE_MILLIS, this::start));
    }
  }

  private Payload free(String cutOff) {
    long ownLeaseEndMillis = grants ? grantRenewal.mono() + LeaderLease.GRANT_MILLIS : 0;
    return leaseRow.free(cutOff, timers.now(), ownLeaseEndMillis);
  }

  /** Releases the lease, unless another instance has taken over meanwhile. */
  private void releaseLease(Map<RowKey, Payload> writes, Consumer<CommitResult> done) {
    Transaction transaction = new Transaction(Map.of(ELECTION, electionVersion), writes, List.of());
    store.commit(transaction, COMMIT_TIMEOUT_MILLIS, done);
  }

  /**
   * Leaves the election permanently and releases the lease, so that another instance need not wait
   * for it to expire.
   */
  void leave(Runnable done) {
    stopped = true;
    if (!leading) {
      done.run();
      return;
    }
    leading = false;
    admissionGate.termEnded();
    releaseLease(Map.of(LEASE, free("")), result -> done.run());
  }

  private void log(String event, String detail) {
    LOG.info(new StringMapMessage().with("event", event).with("detail", detail).with("self", self));
  }
}
