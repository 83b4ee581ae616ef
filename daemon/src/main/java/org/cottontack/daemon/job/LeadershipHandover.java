package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cottontack.core.job.Candidacy;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.peer.Payload;

/**
 * Moves leadership to an instance with enough capacity, through two rows beside the lease: one
 * holds the capacity of the leader, the other the last request for leadership. Confined to the
 * event loop.
 */
final class LeadershipHandover {

  /**
   * Capacity of the leader; written with each takeover, and by a leader that yields, on behalf of
   * the next one.
   */
  static final RowKey CAPACITY = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "capacity");

  /**
   * The last request, or a mark that a leader has handed over since. Each renewal expects this row
   * unchanged, so the leader notices a request, and a renewal in flight cannot take leadership back
   * after a handover.
   */
  static final RowKey REQUEST = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "request");

  private static final int PARTS = 4;

  /**
   * Request of an instance for leadership.
   *
   * @param epoch the term of the leader that receives the request
   * @param capacity the capacity of the requesting instance for leading
   * @param dataCentre the data centre of the requesting instance
   */
  record Request(long epoch, Capacity capacity, String dataCentre) {

    private static Optional<Request> parse(String text) {
      String[] parts = text.split(" ", PARTS);
      // Other programs may write this row. If an unreadable row ended the watch, this instance
      // could never lead again.
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
  private long requestVersion;
  private Optional<Request> pendingRequest = Optional.empty();

  /**
   * Creates a handover without a known request.
   *
   * @param instance this instance
   * @param gapMillis minimum time between two requests known to this instance, in milliseconds
   */
  LeadershipHandover(Instance instance, long gapMillis) {
    this.instance = instance;
    this.candidacy = new Candidacy(instance.capacity(), gapMillis);
  }

  private static long version(Row row) {
    return row == null ? 0 : row.version();
  }

  // Before a term

  /** Updates the last known request from the watched rows. */
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
   * Returns how long this instance waits before it takes over a free lease, in milliseconds, so
   * that a larger instance can take over first: the last leader, or an instance whose request that
   * leader did not answer.
   */
  long takeoverDelayMillis(Map<RowKey, Row> rows, long epoch) {
    Optional<Capacity> requested =
        request(rows).filter(request -> request.epoch() == epoch).map(Request::capacity);
    return Stream.of(capacity(rows.get(CAPACITY)), requested)
        .flatMap(Optional::stream)
        .mapToLong(candidacy::takeoverDelayMillis)
        .max()
        .orElse(0);
  }

  /** Returns the capacity that a takeover writes. */
  Payload capacityPayload() {
    return Payload.of(instance.capacity().text());
  }

  /**
   * Returns a request to the leader, if this instance may send one now. A request is valid for one
   * term, and if several instances send one at once only one is stored.
   *
   * @param election the election row of the current term
   * @param epoch the number of that term
   */
  Optional<Transaction> requestLeadership(
      long nowMillis, Map<RowKey, Row> rows, Row election, long epoch) {
    Row capacityRow = rows.get(CAPACITY);
    // A leader of another version has not written this row and does not notice requests.
    boolean supportsRequests = capacityRow != null && capacityRow.version() == election.version();
    if (!supportsRequests || !mayRequest(nowMillis, epoch, capacityRow)) {
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

  private boolean mayRequest(long nowMillis, long epoch, Row capacityRow) {
    return capacity(capacityRow)
        .filter(leader -> candidacy.mayRequest(nowMillis, epoch, leader))
        .isPresent();
  }

  private static Optional<Capacity> capacity(Row row) {
    return Optional.ofNullable(row).map(Row::text).flatMap(Capacity::parse);
  }

  // During a term

  /** Begins a term with the last known rows. */
  void began(Map<RowKey, Row> rows) {
    requestVersion = version(rows.get(REQUEST));
    pendingRequest = Optional.empty();
  }

  /** Returns the version of the request row that a renewal expects. */
  long requestVersion() {
    return requestVersion;
  }

  /**
   * Updates the pending request after a renewal has found the request row changed.
   *
   * @param epoch the term that this instance leads; requests of earlier terms are ignored
   * @return whether the row has changed
   */
  boolean updateRequest(long epoch, Optional<Row> row) {
    long version = row.map(Row::version).orElse(0L);
    if (version == requestVersion) {
      return false;
    }
    requestVersion = version;
    pendingRequest =
        row.map(Row::text).flatMap(Request::parse).filter(requested -> requested.epoch() == epoch);
    return true;
  }

  /** Returns the request that this leader has received and not answered. */
  Optional<Request> pendingRequest() {
    return pendingRequest;
  }

  /**
   * Returns what a leader writes to the request row when it hands over; it does not parse as a
   * request.
   */
  static Payload handedOver(long epoch) {
    return Payload.of(epoch + " handed over");
  }

  /** Ends a term; this instance requests nothing for a while. */
  void ended(long nowMillis) {
    pendingRequest = Optional.empty();
    candidacy.suppressRequests(nowMillis);
  }
}
