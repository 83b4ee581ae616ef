package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cottontack.core.Moment;
import org.cottontack.core.peer.Payload;

/**
 * Watches a table: reads all of it, then waits for changes, and reads all of it again whenever the
 * store has discarded some changes. The listener receives every row in the order of its versions,
 * including removals that happened while no changes were received. A row that makes the listener
 * throw is logged and skipped. Confined to the event loop.
 */
public final class TableWatcher {

  private static final Logger LOG = LogManager.getLogger(TableWatcher.class);

  /**
   * Longest wait for changes, in milliseconds: limits how long a dead connection goes unnoticed.
   */
  private static final long WAIT_MILLIS = 1_000;

  /** Pause after a call that failed, in milliseconds, so that an outage causes few calls. */
  private static final long PAUSE_MILLIS = 150;

  /**
   * Wait of a request that needs an immediate response, in milliseconds; the store may not support
   * a wait of 0.
   */
  private static final long MIN_WAIT_MILLIS = 1;

  /** A time in the distant past, used before the first response. */
  public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  /** One request for changes; the number distinguishes it from requests that it has replaced. */
  private record Request(Moment sent, long number) {}

  private final TableStore store;
  private final Timers timers;
  private final String table;
  private final List<String> parts;
  private final Consumer<Row> listener;
  private final Runnable onCurrent;
  private final Map<RowKey, Long> knownVersions = new HashMap<>();
  private boolean stopped;
  private long waitMillis = WAIT_MILLIS;
  private long catchUpWaitMillis = WAIT_MILLIS;
  private long minIntervalMillis;
  private long position;
  private Request openRequest;
  private long requestCount;
  private Moment lastRequestSent = NEVER;
  private Moment deliveredRequestSent = NEVER;
  private Moment lastResponseReceived = NEVER;
  private boolean failing;
  private boolean current;

  /**
   * Creates a watcher; {@link #start} begins to read.
   *
   * @param parts the partitions to read
   * @param listener gets each row that is new, changed or removed
   * @param onCurrent called after the first complete scan of the table
   */
  public TableWatcher(
      TableStore store,
      Timers timers,
      String table,
      List<String> parts,
      Consumer<Row> listener,
      Runnable onCurrent) {
    this.store = store;
    this.timers = timers;
    this.table = table;
    this.parts = List.copyOf(parts);
    this.listener = listener;
    this.onCurrent = onCurrent;
  }

  /**
   * Receives changes in batches. Hundreds of workers write their entries each second; if the next
   * request followed each response at once, the store would send a response for each entry.
   *
   * @param millis minimum time from a response with changes to the next request, in milliseconds
   * @return this
   */
  public TableWatcher withMinInterval(long millis) {
    minIntervalMillis = millis;
    return this;
  }

  /**
   * Keeps the known rows fresher than usual: each request waits for a shorter time, and a request
   * does not wait at all if the last update is already stale, after a scan of the whole table, and
   * after a failure.
   *
   * @param millis longest wait for a change, in milliseconds
   * @return this
   */
  public TableWatcher withMaxWait(long millis) {
    waitMillis = millis;
    catchUpWaitMillis = MIN_WAIT_MILLIS;
    return this;
  }

  /** Starts to read the table. */
  public void start() {
    scan(timers.now(), new ArrayList<>(), Long.MAX_VALUE, 0);
  }

  /** Stops; the listener is not called afterwards. */
  public void stop() {
    stopped = true;
  }

  /** Returns when the store last answered, on our monotonic clock in milliseconds. */
  public long lastContactMillis() {
    return lastResponseReceived.mono();
  }

  /**
   * Returns when the last answered request was sent: every change that was stored by then has been
   * delivered.
   */
  public Moment lastRequestSent() {
    return lastRequestSent;
  }

  /** Returns when the request was sent whose response is being delivered or was delivered last. */
  public Moment deliveredRequestSent() {
    return deliveredRequestSent;
  }

  /** Returns when the store's last response was received. */
  public Moment lastResponseReceived() {
    return lastResponseReceived;
  }

  private void scan(Moment began, List<Row> rows, long oldest, int index) {
    if (stopped) {
      return;
    }
    if (index == parts.size()) {
      scanned(began, rows, oldest);
      return;
    }
    store.scan(
        table,
        parts.get(index),
        "",
        scan -> {
          if (!scan.answered()) {
            recordFailure("scan");
            timers.after(PAUSE_MILLIS, this::start);
            return;
          }
          rows.addAll(scan.rows());
          scan(began, rows, Math.min(oldest, scan.version()), index + 1);
        });
  }

  private void scanned(Moment began, List<Row> rows, long version) {
    if (stopped) {
      return;
    }
    recordResponse(began);
    Set<RowKey> present = new HashSet<>();
    rows.forEach(row -> present.add(row.at()));
    List<RowKey> vanished =
        knownVersions.keySet().stream().filter(k -> !present.contains(k)).toList();
    vanished.forEach(key -> deliver(new Row(key, Payload.EMPTY, version, true)));
    rows.forEach(this::deliver);
    position = version;
    lastRequestSent = began;
    if (!current) {
      current = true;
      onCurrent.run();
    }
    watch(isStale(began) ? MIN_WAIT_MILLIS : catchUpWaitMillis);
  }

  private void watch(long wait) {
    if (!stopped) {
      requestCount++;
      Request request = new Request(timers.now(), requestCount);
      openRequest = request;
      store.watch(table, position, wait, changes -> onChanges(request, changes));
    }
  }

  /**
   * Returns whether a response is older than its wait explains: its request was sent more than two
   * waits ago.
   */
  private boolean isStale(Moment sent) {
    return timers.now().longestSince(sent) > 2 * waitMillis;
  }

  /**
   * Sends a new request without a wait if the wall clock was set forward or the process was
   * suspended since the open request was sent: by the wall clock its response would be stale.
   */
  public void refreshAfterClockJump() {
    if (openRequest != null && clockJumped(openRequest.sent())) {
      watch(MIN_WAIT_MILLIS);
    }
  }

  private boolean clockJumped(Moment since) {
    Moment now = timers.now();
    return now.wall() - since.wall() > now.mono() - since.mono() + waitMillis;
  }

  private void onChanges(Request request, TableStore.Changes changes) {
    if (stopped || !request.equals(openRequest)) {
      return;
    }
    openRequest = null;
    switch (changes.outcome()) {
      case CURRENT -> {
        recordResponse(request.sent());
        changes.rows().stream()
            .filter(row -> parts.contains(row.at().part()))
            .forEach(this::deliver);
        position = Math.max(position, changes.version());
        lastRequestSent = request.sent();
        if (minIntervalMillis > 0 && !changes.rows().isEmpty()) {
          timers.after(minIntervalMillis, () -> watch(waitMillis));
        } else {
          watch(isStale(lastRequestSent) ? MIN_WAIT_MILLIS : waitMillis);
        }
      }
      case FORGOTTEN -> {
        LOG.info(
            "the store has discarded changes of table {}; reading the whole table again", table);
        start();
      }
      case FAILED -> {
        recordFailure("follow");
        timers.after(PAUSE_MILLIS, () -> watch(catchUpWaitMillis));
      }
      default -> throw new IllegalStateException("no such outcome: " + changes.outcome());
    }
  }

  private void deliver(Row row) {
    Long before = knownVersions.get(row.at());
    if (before != null && before >= row.version()) {
      return;
    }
    if (row.removed()) {
      knownVersions.remove(row.at());
    } else {
      knownVersions.put(row.at(), row.version());
    }
    try {
      listener.accept(row);
    } catch (RuntimeException e) {
      // Other programs write rows as well. An exception of the listener would end the chain of
      // calls here, and the process would miss every later change. The row counts as delivered: it
      // is delivered again when it changes, and logged once.
      LOG.error("skipping row {}: the listener threw an exception", row.at(), e);
    }
  }

  private void recordResponse(Moment sent) {
    deliveredRequestSent = sent;
    lastResponseReceived = timers.now();
    if (failing) {
      failing = false;
      LOG.info("the store answers again for table {}", table);
    }
  }

  private void recordFailure(String call) {
    if (!failing) {
      failing = true;
      LOG.warn("the store does not answer for table {} (call: {})", table, call);
    }
  }
}
