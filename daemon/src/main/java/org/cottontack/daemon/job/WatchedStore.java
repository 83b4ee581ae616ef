package org.cottontack.daemon.job;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * The platform's store, watched by all calls that this instance makes: whether it still answers,
 * and how long its answers take. A caller whose request cannot be stored is told so at once, and a
 * store that is slow is not asked again before it can have answered. Confined to the event loop.
 */
public final class WatchedStore implements TableStore {

  private static final Logger LOG = LogManager.getLogger(WatchedStore.class);

  /**
   * Time without any answer, while one is due, after which the store counts as away, in
   * milliseconds. Reads of a store that is 60 times slower than usual take 250 ms, its transactions
   * 500 ms; callers wait 3 s, which leaves them time to try elsewhere.
   */
  static final long SILENCE_MILLIS = 700;

  /** Time in which an answer usually comes, in milliseconds: 20 times that of a calm store. */
  private static final long LEAST_PATIENCE_MILLIS = 400;

  /** Longest time until a call is repeated, in milliseconds. */
  private static final long MOST_PATIENCE_MILLIS = 2_000;

  /** A call is repeated after this many times the time that recent answers took. */
  private static final int PATIENCE_FACTOR = 4;

  /** Time in which half of a slow answer is forgotten, in milliseconds. */
  private static final double FORGET_MILLIS = 2_000;

  /** Time between two looks at what is due, in milliseconds. */
  private static final long LOOK_MILLIS = 100;

  /**
   * Longest time between two looks that counts as silence, in milliseconds. A process that was
   * paused, or that starts on little processor time, has answers unread; counted in full, it turned
   * callers away for seconds though the store had answered.
   */
  private static final long LONGEST_GAP_MILLIS = 150;

  private static final long NEVER = Long.MAX_VALUE;

  private final TableStore store;
  private final Timers timers;
  private final Set<Call> open = new LinkedHashSet<>();
  private long heardMillis;
  private long missedMillis = NEVER;
  private double slowMillis;
  private long slowAtMillis;
  private long lookedMillis;
  private long silentMillis;
  private boolean away;

  /** Watches a store. */
  public WatchedStore(TableStore store, Timers timers) {
    this.store = store;
    this.timers = timers;
    this.heardMillis = timers.now().mono();
    this.lookedMillis = heardMillis;
    timers.after(LOOK_MILLIS, this::look);
  }

  private void look() {
    long now = timers.now().mono();
    long due = open.stream().mapToLong(call -> call.dueMillis).min().orElse(NEVER);
    long silentSince = Math.max(Math.min(due, missedMillis), heardMillis);
    long passed = Math.min(now - Math.max(lookedMillis, silentSince), LONGEST_GAP_MILLIS);
    silentMillis = silentSince < now ? silentMillis + passed : 0;
    lookedMillis = now;
    tell(silentMillis >= SILENCE_MILLIS);
    timers.after(LOOK_MILLIS, this::look);
  }

  private void tell(boolean next) {
    if (next == away) {
      return;
    }
    away = next;
    LOG.info(
        new StringMapMessage()
            .with("event", next ? "store.away" : "store.back")
            .with("silentMillis", timers.now().mono() - heardMillis)
            .with("open", open.size()));
  }

  /** A call under way, with the time at which its answer is due. */
  private final class Call {
    private final long dueMillis;

    Call(long waitMillis) {
      dueMillis = timers.now().mono() + waitMillis;
      open.add(this);
    }

    void ended(boolean answered) {
      open.remove(this);
      if (answered) {
        heard(timers.now().mono());
      } else {
        missedMillis = Math.min(missedMillis, dueMillis);
      }
    }

    private void heard(long nowMillis) {
      slowMillis = Math.max(slowNow(nowMillis), (double) (nowMillis - dueMillis));
      slowAtMillis = nowMillis;
      heardMillis = nowMillis;
      missedMillis = NEVER;
      silentMillis = 0;
      tell(false);
    }
  }

  private double slowNow(long nowMillis) {
    return slowMillis * Math.pow(0.5, (nowMillis - slowAtMillis) / FORGET_MILLIS);
  }

  private <T> Consumer<T> watched(long waitMillis, Predicate<T> answered, Consumer<T> done) {
    Call call = new Call(waitMillis);
    return answer -> {
      call.ended(answered.test(answer));
      done.accept(answer);
    };
  }

  @Override
  public void commit(Transaction change, long timeoutMillis, Consumer<CommitResult> done) {
    store.commit(change, timeoutMillis, watched(0, CommitResult::served, done));
  }

  @Override
  public void scan(String table, String part, String prefix, Consumer<Scan> done) {
    store.scan(table, part, prefix, watched(0, Scan::answered, done));
  }

  @Override
  public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
    store.watch(table, after, waitMillis, watched(waitMillis, Changes::answered, done));
  }

  /** Returns whether the store serves no call of this instance, as far as that is known. */
  public boolean away() {
    return away;
  }

  /** Asks for next to nothing, to see whether an answer comes. */
  void probe() {
    scan(JobTables.LEADER, JobTables.LEADER_PART, JobTables.LEADER_PART, scan -> {});
  }

  /** Returns whether the store has answered any call after a time. */
  boolean heardSince(long millis) {
    return heardMillis > millis;
  }

  /** Returns how long to wait for an answer until a call is repeated, in milliseconds. */
  long patienceMillis() {
    double patience = PATIENCE_FACTOR * slowNow(timers.now().mono());
    return (long) Math.max(LEAST_PATIENCE_MILLIS, Math.min(MOST_PATIENCE_MILLIS, patience));
  }
}
