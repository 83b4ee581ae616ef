package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cottontack.core.job.Candidacy;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.peer.Payload;

/**
 * Brings the lead to an instance that can carry it, through two rows beside the lease: one says
 * what the leader has, the other who asked it for the lead. Confined to the event loop.
 */
final class LeadershipHandover {

  /** What the leader has; written with each takeover, and for the next one when it makes way. */
  static final RowKey CAPACITY = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "capacity");

  /**
   * Who asked last, or that a leader gave the lead away since. Each renewal expects it unchanged:
   * so the leader hears of a request, and no renewal under way takes back what was given.
   */
  static final RowKey REQUEST = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "request");

  private static final int PARTS = 4;

  /**
   * An instance asks a leader for the lead.
   *
   * @param epoch the leader's term
   * @param capacity what the instance has for leading
   * @param dataCentre where it is
   */
  record Request(long epoch, Capacity capacity, String dataCentre) {

    private static Optional<Request> parse(String text) {
      String[] parts = text.split(" ", PARTS);
      // Others may write here. A row that ended the watch would keep this instance from ever
      // leading.
      if (parts.length < PARTS || !parts[0].matches("\\d{1,18}")) {
        return Optional.empty();
      }
      return Capacity.parse(parts[1] + " " + parts[2])
          .map(capacity -> new Request(Long.parseLong(parts[0]), capacity, parts[PARTS - 1]));
    }

    private Payload payload() {
      return Payload.of(epoch + " " + capacity.text() + " " + dataCentre);
    }
  }

  private final Instance instance;
  private final Candidacy candidacy;
  private long heardVersion;
  private Optional<Request> heard = Optional.empty();

  /**
   * Begins without news.
   *
   * @param instance this instance
   * @param gapMillis least time between two requests that it knows of, in milliseconds
   */
  LeadershipHandover(Instance instance, long gapMillis) {
    this.instance = instance;
    this.candidacy = new Candidacy(instance.capacity(), gapMillis);
  }

  private static long version(Row row) {
    return row == null ? 0 : row.version();
  }

  // Before a term

  /** Takes in the rows as they are watched. */
  void observed(long nowMillis, Map<RowKey, Row> rows) {
    Row row = rows.get(REQUEST);
    if (row != null) {
      request(rows)
          .ifPresentOrElse(
              request -> candidacy.requested(nowMillis, row.version(), request.epoch()),
              () -> candidacy.handedOver(nowMillis, row.version()));
    }
  }

  private static Optional<Request> request(Map<RowKey, Row> rows) {
    return Optional.ofNullable(rows.get(REQUEST)).map(Row::text).flatMap(Request::parse);
  }

  /**
   * Returns how long to leave a free lead to larger instances, in milliseconds: the last leader,
   * and one that asked it in vain.
   */
  long standBackMillis(Map<RowKey, Row> rows, long epoch) {
    Optional<Capacity> asked =
        request(rows).filter(request -> request.epoch() == epoch).map(Request::capacity);
    return Stream.of(capacity(rows.get(CAPACITY)), asked)
        .flatMap(Optional::stream)
        .mapToLong(candidacy::takeoverDelayMillis)
        .max()
        .orElse(0);
  }

  /** Returns what a takeover writes. */
  Payload taken() {
    return Payload.of(instance.capacity().text());
  }

  /**
   * Returns the request to the leader, if there is reason for one. It holds for one term, and only
   * one of several instances that ask at once gets it into the store.
   *
   * @param election the row of the current term
   * @param epoch its number
   */
  Optional<Transaction> ask(long nowMillis, Map<RowKey, Row> rows, Row election, long epoch) {
    Row held = rows.get(CAPACITY);
    // Another version of the product that took over has not written the row, and hears no requests.
    boolean hears = held != null && held.version() == election.version();
    if (!hears || !mayAsk(nowMillis, epoch, held)) {
      return Optional.empty();
    }
    candidacy.requesting(nowMillis, epoch);
    Request request = new Request(epoch, instance.capacity(), instance.dataCentre());
    return Optional.of(
        new Transaction(
            Map.of(election.at(), election.version(), REQUEST, version(rows.get(REQUEST))),
            Map.of(REQUEST, request.payload()),
            List.of()));
  }

  private boolean mayAsk(long nowMillis, long epoch, Row held) {
    return capacity(held)
        .filter(leader -> candidacy.mayRequest(nowMillis, epoch, leader))
        .isPresent();
  }

  private static Optional<Capacity> capacity(Row row) {
    return Optional.ofNullable(row).map(Row::text).flatMap(Capacity::parse);
  }

  // During a term

  /** Begins a term with the rows as they were last seen. */
  void began(Map<RowKey, Row> rows) {
    heardVersion = version(rows.get(REQUEST));
    heard = Optional.empty();
  }

  /** Returns the version that a renewal expects of the request. */
  long heardVersion() {
    return heardVersion;
  }

  /**
   * Takes in the row of requests after a renewal found it changed.
   *
   * @param epoch the term that this instance leads; requests to earlier ones are nothing to it
   * @return whether it is news
   */
  boolean heard(long epoch, Optional<Row> row) {
    long version = row.map(Row::version).orElse(0L);
    if (version == heardVersion) {
      return false;
    }
    heardVersion = version;
    heard = row.map(Row::text).flatMap(Request::parse).filter(asked -> asked.epoch() == epoch);
    return true;
  }

  /** Returns the request that was heard and not answered. */
  Optional<Request> heard() {
    return heard;
  }

  /** Returns what a leader writes that gives the lead away; it is no request. */
  static Payload handedOver(long epoch) {
    return Payload.of(epoch + " handed over");
  }

  /** Ends a term. */
  void ended(long nowMillis) {
    heard = Optional.empty();
    candidacy.suppressRequests(nowMillis);
  }
}
