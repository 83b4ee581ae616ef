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
 * Keeps up with a table: reads all of it, then waits for changes, and reads all of it again
 * whenever the store has forgotten some. Every row reaches the listener in the order of its
 * versions, and removals that happened unseen are told too. A row that the listener cannot take is
 * logged and passed over. Confined to the event loop.
 */
public final class TableWatcher {

  private static final Logger LOG = LogManager.getLogger(TableWatcher.class);

  /** Longest wait for news, in milliseconds: bounds how long a dead connection goes unnoticed. */
  private static final long WAIT_MILLIS = 1_000;

  /** Pause after a call that failed, in milliseconds: an outage costs few calls this way. */
  private static final long PAUSE_MILLIS = 150;

  /** Wait where an answer is wanted at once, in milliseconds; the store may not know one of 0. */
  private static final long MIN_WAIT_MILLIS = 1;

  /** Stands for a time long ago, where there was no answer yet. */
  public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  /** One call for news, told apart from those given up for it. */
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
   * Creates a follower that does nothing yet.
   *
   * @param parts the partitions to read
   * @param listener gets each row that is new, changed or removed
   * @param onCurrent called after the first complete reading of the table
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
   * Has changes told in batches. The load: hundreds of workers write their entries each second, and
   * a feed that is asked again at once answers for each of them.
   *
   * @param millis least time from an answer with changes to the next question, in milliseconds
   * @return this
   */
  public TableWatcher withMinInterval(long millis) {
    minIntervalMillis = millis;
    return this;
  }

  /**
   * Has the news kept newer than usual: the store is asked again after a shorter wait, and with
   * none where the news is old already, after a reading of the whole table and after a failure.
   *
   * @param millis longest wait for a change, in milliseconds
   * @return this
   */
  public TableWatcher withMaxWait(long millis) {
    waitMillis = millis;
    catchUpWaitMillis = MIN_WAIT_MILLIS;
    return this;
  }

  /** Begins to read. */
  public void start() {
    scan(timers.now(), new ArrayList<>(), Long.MAX_VALUE, 0);
  }

  /** Ends; nothing is told afterwards. */
  public void stop() {
    stopped = true;
  }

  /** Returns when the store last answered, on our steady clock. */
  public long lastContactMillis() {
    return lastResponseReceived.mono();
  }

  /**
   * Returns when the question was sent that the store answered last: every change that was in the
   * store by then has been told.
   */
  public Moment lastRequestSent() {
    return lastRequestSent;
  }

  /** Returns when the question was sent whose answer is being told, or was told last. */
  public Moment deliveredRequestSent() {
    return deliveredRequestSent;
  }

  /** Returns when the store's last answer was taken in. */
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

  /** Returns whether what was asked for then is older than a wait for it explains. */
  private boolean isStale(Moment sent) {
    return timers.now().longestSince(sent) > 2 * waitMillis;
  }

  /**
   * Asks again without a wait where the time of day was set forward, or the process was suspended,
   * since the question under way was sent: its answer will be old by its date.
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
        LOG.info("the store forgot changes of {}; reading all of it again", table);
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
      // Others write rows as well. One that the listener chokes on would end the chain of calls
      // here, and the process would miss every later change. The row counts as told: it is taken
      // up again when it changes, and logged once.
      LOG.error("passing over a row that cannot be taken: {}", row.at(), e);
    }
  }

  private void recordResponse(Moment sent) {
    deliveredRequestSent = sent;
    lastResponseReceived = timers.now();
    if (failing) {
      failing = false;
      LOG.info("the store answers again about {}", table);
    }
  }

  private void recordFailure(String call) {
    if (!failing) {
      failing = true;
      LOG.warn("the store does not answer about {} ({})", table, call);
    }
  }
}
