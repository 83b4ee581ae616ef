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
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;

/**
 * Elects one leader among the instances through two rows of the store: one names the leader and
 * changes only with a takeover, the other changes with each renewal. Confined to the event loop.
 */
final class Leadership {

  private static final Logger LOG = LogManager.getLogger(Leadership.class);

  /** Time between two renewals, in milliseconds: a lease of 2 s outlives the loss of two. */
  private static final long RENEW_MILLIS = 500;

  /** Longest wait for news of the lease, in milliseconds: two fit into the lease. */
  private static final long MAX_WATCH_MILLIS = 600;

  /** Pause after a call that failed, in milliseconds. */
  private static final long PAUSE_MILLIS = 200;

  /** Longest wait for the answer to a renewal, in milliseconds. */
  private static final long COMMIT_TIMEOUT_MILLIS = 1_800;

  /** Instances start their takeovers up to this much apart, in milliseconds. */
  private static final long TAKEOVER_SPREAD_MILLIS = 150;

  /**
   * Least time between two times that this instance gives the lead away, in milliseconds. Where no
   * other instance reaches more, a shorter one would leave what still runs without a leader for a
   * third of the time.
   */
  private static final long MIN_HANDOVER_INTERVAL_MILLIS = 30_000;

  private static final RowKey ELECTION =
      new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "election");
  private static final RowKey LEASE = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "lease");

  /**
   * Head start of other data centres when a leader gives the lead away because it was cut off, in
   * milliseconds: several usual elections, and less than a takeover without it takes.
   */
  private static final long HEAD_START_MILLIS = 1_500;

  private final TableStore store;
  private final Timers timers;
  private final String name;
  private final String self;
  private final String dataCentre;
  private final Listener listener;
  private final LeadershipHandover handover;
  private final LeaseRow leaseRow;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private LeaderLease lease = new LeaderLease();
  private long position;
  private boolean leading;
  private boolean stopped;
  private long epoch;
  private long electionVersion;
  private long handedOverMillis = Long.MIN_VALUE / 2;
  private boolean begun;
  private long renewals;
  private long renewalSentMillis;
  private long leaseVersion;
  private boolean leaseVersionKnown;
  private long campaignEpoch;
  private Moment campaignSent;

  /** What an election is about; called on the event loop. */
  interface Listener {

    /** A term was won. */
    void won(long epoch);

    /** A term ended before this process does. */
    void lost();

    /**
     * Returns whether nothing speaks against an instance of a data centre leading in place of this
     * one. A leader that has not begun knows as little of that as any election, and says yes.
     */
    boolean mayYieldLeadershipTo(String dataCentre);
  }

  /**
   * Creates a candidate that does nothing yet.
   *
   * @param instance this instance
   * @param self this incarnation: the name, a slash and what differs with each life
   * @param listener told of its terms
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
          updateRows(scan.rows());
          position = scan.version();
          decide();
        });
  }

  /** Returns whether this instance leads. */
  boolean leading() {
    return leading;
  }

  boolean mayStart() {
    return leading && lease.mayStart(timers.now());
  }

  /** Takes in that from now on this leader gives leases to workers. */
  void begin() {
    begun = true;
  }

  /** Returns when the last renewal of this term that is in the store was sent. */
  Moment renewal() {
    return lease.renewal();
  }

  /**
   * Returns the steady time, in milliseconds, at which all leases have ended that earlier leaders
   * gave to workers: none lasts longer than its giver's last renewal allows.
   */
  long inheritedLeaseEndMillis() {
    return leaseRow.inheritedLeaseEndMillis();
  }

  private void updateRows(List<Row> changes) {
    changes.forEach(row -> rows.put(row.at(), row));
  }

  private void decide() {
    if (stopped || leading) {
      return;
    }
    handover.observed(timers.now().mono(), rows);
    Row held = rows.get(LEASE);
    if (held != null) {
      lease.observed(timers.now().mono(), held.version());
    }
    Optional<LeaseText> text = Optional.ofNullable(held).map(row -> LeaseText.parse(row.text()));
    boolean leaseFree =
        text.isEmpty() || text.get().isFree() || heldByOwnPreviousIncarnation(text.get().holder());
    if (leaseFree || lease.expired()) {
      long spread = ThreadLocalRandom.current().nextLong(TAKEOVER_SPREAD_MILLIS);
      boolean cutOff = text.isPresent() && text.get().cutOff().equals(dataCentre);
      long wait = (leaseFree ? spread / 10 : spread) + (cutOff ? HEAD_START_MILLIS : 0);
      Row election = rows.get(ELECTION);
      long delay =
          wait + (election == null ? 0 : handover.standBackMillis(rows, epochOf(election)));
      timers.after(delay, () -> campaign(held == null ? 0 : held.version()));
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
   * its lease need not be waited out: after a loss of power everywhere this saves the whole wait.
   */
  private boolean heldByOwnPreviousIncarnation(String holder) {
    return holder.startsWith(name + "/") && !holder.startsWith(self);
  }

  private void watch() {
    store.watch(
        JobTables.LEADER,
        position,
        Math.min(MAX_WATCH_MILLIS, lease.untilExpiryMillis()),
        changes -> {
          switch (changes.outcome()) {
            case CURRENT -> {
              updateRows(changes.rows());
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
    // All attempts at an epoch write the same name. One that is found in the store may be the
    // first, and a lease counted from the last would outlive what other instances wait for.
    if (next != campaignEpoch) {
      campaignEpoch = next;
      campaignSent = timers.now();
    }
    final Moment sent = campaignSent;
    // The transaction holds only if nobody renewed after the row as we know it.
    Optional<Row> previous = Optional.ofNullable(rows.get(LEASE)).filter(row -> leaseVersion > 0);
    leaseRow.inherit(previous.map(row -> LeaseText.parse(row.text())), lease.changedMillis());
    Transaction transaction =
        new Transaction(
            Map.of(ELECTION, election == null ? 0 : election.version(), LEASE, leaseVersion),
            Map.of(
                ELECTION,
                Payload.of(next + " " + self),
                LEASE,
                leaseRow.held(renewals, sent, true),
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

  /** A takeover whose answer was lost may still be in the store. */
  private void checkTakeover(long next, Moment sent) {
    store.scan(
        JobTables.LEADER,
        ELECTION.part(),
        "",
        scan -> {
          if (!scan.answered()) {
            timers.after(PAUSE_MILLIS, () -> checkTakeover(next, sent));
            return;
          }
          updateRows(scan.rows());
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
    begun = false;
    epoch = won;
    electionVersion = version;
    leaseVersion = version;
    leaseVersionKnown = true;
    lease = new LeaderLease();
    lease.renewed(sent);
    renewalSentMillis = sent.mono();
    log("leader.won", "epoch=" + epoch);
    handover.began(rows);
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
   * Renews the lease if it is time. Whoever keeps the event loop busy asks for this before each
   * piece of work: behind hundreds of answers and a decision of a second the timer alone came 1.4 s
   * late, and a small leader lost its lease in the rush after its takeover.
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
    // An unanswered copy that is carried out late would put its old time over a newer one, and the
    // next leader would not wait for all leases. So a renewal says its time only where it expects
    // the row as our last one left it; any other says none.
    boolean includesTime = leaseVersionKnown;
    if (includesTime) {
      expected.put(LEASE, leaseVersion);
    }
    leaseVersionKnown = false;
    Payload text = leaseRow.held(renewals, sent, includesTime);
    Transaction transaction = new Transaction(expected, Map.of(LEASE, text), List.of());
    long number = renewals;
    store.commit(transaction, COMMIT_TIMEOUT_MILLIS, result -> renewed(term, number, sent, result));
  }

  private void renewed(long term, long number, Moment sent, CommitResult result) {
    if (!leading || epoch != term) {
      return;
    }
    leaseRow.updateClock(sent, timers.now(), result.storeMillis());
    if (result.outcome() == CommitResult.Outcome.DONE) {
      lease.renewed(sent);
      leaseVersion = Math.max(leaseVersion, result.version());
      // Behind a late answer newer renewals are under way. One that expected the row as this one
      // left it would conflict, and while answers are late so would each after it.
      leaseVersionKnown = number == renewals;
      yieldLeadership();
    } else if (result.outcome() == CommitResult.Outcome.CONFLICT) {
      conflicted(term, result);
    } else {
      log("leader.renewalFailed", result.outcome().toString());
    }
  }

  /**
   * A renewal conflicts when another instance has taken over, and when one has asked for the lead.
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
      // Only the lease row differs, by a late copy of ours. Sent again it expects nothing of it.
      sendRenewal(term);
    }
  }

  /**
   * Gives the lead to a larger instance that asked for it. It has reached the store to ask; one
   * whose data centre this leader does not reach may be cut off from most workers, and is not
   * answered.
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

  /** Ends this instance's term, if it leads, and watches the next leader. */
  void stepDown(String reason) {
    if (leading) {
      endTerm(reason);
      timers.after(PAUSE_MILLIS, this::start);
    }
  }

  private void endTerm(String reason) {
    log("leader.lost", "epoch=" + epoch + " " + reason);
    leading = false;
    lease = new LeaderLease();
    handover.ended(timers.now().mono());
    listener.lost();
  }

  /**
   * Ends this instance's term and gives the lease back, with a head start for instances of other
   * data centres: one nearby is probably cut off as well.
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
    return leaseRow.free(cutOff, timers.now(), begun);
  }

  /** Gives the lease back, unless another instance has taken over meanwhile. */
  private void releaseLease(Map<RowKey, Payload> writes, Consumer<CommitResult> done) {
    Transaction transaction = new Transaction(Map.of(ELECTION, electionVersion), writes, List.of());
    store.commit(transaction, COMMIT_TIMEOUT_MILLIS, done);
  }

  /** Leaves for good: gives the lease back so that another instance need not wait for it. */
  void leave(Runnable done) {
    stopped = true;
    if (!leading) {
      done.run();
      return;
    }
    leading = false;
    releaseLease(Map.of(LEASE, free("")), result -> done.run());
  }

  private void log(String event, String detail) {
    LOG.info(new StringMapMessage().with("event", event).with("detail", detail).with("self", self));
  }
}
