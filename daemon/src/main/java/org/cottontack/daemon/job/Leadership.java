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
  private static final long WATCH_MILLIS = 600;

  /** Pause after a call that failed, in milliseconds. */
  private static final long PAUSE_MILLIS = 200;

  /** Longest wait for the answer to a renewal, in milliseconds. */
  private static final long ANSWER_MILLIS = 1_800;

  /** Instances start their takeovers up to this much apart, in milliseconds. */
  private static final long SPREAD_MILLIS = 150;

  /**
   * Least time between two times that this instance gives the lead away, in milliseconds. Where no
   * other instance reaches more, a shorter one would leave what still runs without a leader for a
   * third of the time.
   */
  private static final long HAND_OVER_GAP_MILLIS = 30_000;

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
  private final LeadershipHandover succession;
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
  private boolean leaseKnown;
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
    this.succession = new LeadershipHandover(instance, HAND_OVER_GAP_MILLIS);
    this.leaseRow = new LeaseRow(self);
  }

  void start() {
    if (stopped) {
      return;
    }
    Moment asked = timers.now();
    store.scan(
        JobTables.LEADER,
        ELECTION.part(),
        "",
        scan -> {
          if (!scan.answered()) {
            timers.after(PAUSE_MILLIS, this::start);
            return;
          }
          leaseRow.told(asked, timers.now(), scan.storeMillis());
          take(scan.rows());
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

  private void take(List<Row> news) {
    news.forEach(row -> rows.put(row.at(), row));
  }

  private void decide() {
    if (stopped || leading) {
      return;
    }
    succession.observed(timers.now().mono(), rows);
    Row held = rows.get(LEASE);
    if (held != null) {
      lease.observed(timers.now().mono(), held.version());
    }
    Optional<LeaseText> text = Optional.ofNullable(held).map(row -> LeaseText.parse(row.text()));
    boolean open = text.isEmpty() || text.get().isFree() || heldByOurLastLife(text.get().holder());
    if (open || lease.expired()) {
      long spread = ThreadLocalRandom.current().nextLong(SPREAD_MILLIS);
      boolean cutOff = text.isPresent() && text.get().cutOff().equals(dataCentre);
      long wait = (open ? spread / 10 : spread) + (cutOff ? HEAD_START_MILLIS : 0);
      Row election = rows.get(ELECTION);
      long last =
          wait + (election == null ? 0 : succession.standBackMillis(rows, epochOf(election)));
      timers.after(last, () -> campaign(held == null ? 0 : held.version()));
    } else {
      askForLead();
      watch();
    }
  }

  private void askForLead() {
    Row election = rows.get(ELECTION);
    if (election != null) {
      succession
          .ask(timers.now().mono(), rows, election, epochOf(election))
          .ifPresent(
              change -> {
                log("leader.requested", "epoch=" + epochOf(election));
                store.commit(change, ANSWER_MILLIS, answer -> {});
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
  private boolean heldByOurLastLife(String holder) {
    return holder.startsWith(name + "/") && !holder.startsWith(self);
  }

  private void watch() {
    store.watch(
        JobTables.LEADER,
        position,
        Math.min(WATCH_MILLIS, lease.untilExpiryMillis()),
        news -> {
          switch (news.outcome()) {
            case CURRENT -> {
              take(news.rows());
              position = Math.max(position, news.version());
              decide();
            }
            case FORGOTTEN -> start();
            case FAILED -> timers.after(PAUSE_MILLIS, this::watch);
            default -> throw new IllegalStateException("no such outcome: " + news.outcome());
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
    Optional<Row> last = Optional.ofNullable(rows.get(LEASE)).filter(row -> leaseVersion > 0);
    leaseRow.inherit(last.map(row -> LeaseText.parse(row.text())), lease.changedMillis());
    Transaction change =
        new Transaction(
            Map.of(ELECTION, election == null ? 0 : election.version(), LEASE, leaseVersion),
            Map.of(
                ELECTION,
                Payload.of(next + " " + self),
                LEASE,
                leaseRow.held(renewals, sent, true),
                LeadershipHandover.CAPACITY,
                succession.taken()),
            List.of());
    store.commit(
        change,
        ANSWER_MILLIS,
        answer -> {
          if (answer.outcome() == CommitResult.Outcome.DONE) {
            won(next, answer.version(), sent);
          } else {
            log("leader.notWon", "epoch=" + next + " " + answer.outcome());
            afterLost(next, sent);
          }
        });
  }

  /** A takeover whose answer was lost may still be in the store. */
  private void afterLost(long next, Moment sent) {
    store.scan(
        JobTables.LEADER,
        ELECTION.part(),
        "",
        scan -> {
          if (!scan.answered()) {
            timers.after(PAUSE_MILLIS, () -> afterLost(next, sent));
            return;
          }
          take(scan.rows());
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
    leaseKnown = true;
    lease = new LeaderLease();
    lease.renewed(sent);
    renewalSentMillis = sent.mono();
    log("leader.won", "epoch=" + epoch);
    succession.began(rows);
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
    expected.put(LeadershipHandover.REQUEST, succession.heardVersion());
    // An unanswered copy that is carried out late would put its old time over a newer one, and the
    // next leader would not wait for all leases. So a renewal says its time only where it expects
    // the row as our last one left it; any other says none.
    boolean stated = leaseKnown;
    if (stated) {
      expected.put(LEASE, leaseVersion);
    }
    leaseKnown = false;
    Payload text = leaseRow.held(renewals, sent, stated);
    Transaction change = new Transaction(expected, Map.of(LEASE, text), List.of());
    long number = renewals;
    store.commit(change, ANSWER_MILLIS, answer -> renewed(term, number, sent, answer));
  }

  private void renewed(long term, long number, Moment sent, CommitResult answer) {
    if (!leading || epoch != term) {
      return;
    }
    leaseRow.told(sent, timers.now(), answer.storeMillis());
    if (answer.outcome() == CommitResult.Outcome.DONE) {
      lease.renewed(sent);
      leaseVersion = Math.max(leaseVersion, answer.version());
      // Behind a late answer newer renewals are under way. One that expected the row as this one
      // left it would conflict, and while answers are late so would each after it.
      leaseKnown = number == renewals;
      makeWay();
    } else if (answer.outcome() == CommitResult.Outcome.CONFLICT) {
      conflicted(term, answer);
    } else {
      log("leader.renewalFailed", answer.outcome().toString());
    }
  }

  /**
   * A renewal conflicts when another instance has taken over, and when one has asked for the lead.
   */
  private void conflicted(long term, CommitResult answer) {
    if (answer.current(ELECTION).map(Row::version).orElse(0L) != electionVersion) {
      stepDown("another instance has taken over");
    } else if (succession.heard(term, answer.current(LeadershipHandover.REQUEST))) {
      makeWay();
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
  private void makeWay() {
    succession
        .heard()
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
    succession.ended(timers.now().mono());
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
    if (leading && now - handedOverMillis >= HAND_OVER_GAP_MILLIS) {
      handedOverMillis = now;
      endTerm(reason);
      giveBack(writes, answer -> timers.after(PAUSE_MILLIS, this::start));
    }
  }

  private Payload free(String cutOff) {
    return leaseRow.free(cutOff, timers.now(), begun);
  }

  /** Gives the lease back, unless another instance has taken over meanwhile. */
  private void giveBack(Map<RowKey, Payload> writes, Consumer<CommitResult> done) {
    Transaction change = new Transaction(Map.of(ELECTION, electionVersion), writes, List.of());
    store.commit(change, ANSWER_MILLIS, done);
  }

  /** Leaves for good: gives the lease back so that another instance need not wait for it. */
  void leave(Runnable done) {
    stopped = true;
    if (!leading) {
      done.run();
      return;
    }
    leading = false;
    giveBack(Map.of(LEASE, free("")), answer -> done.run());
  }

  private void log(String event, String detail) {
    LOG.info(new StringMapMessage().with("event", event).with("detail", detail).with("self", self));
  }
}
