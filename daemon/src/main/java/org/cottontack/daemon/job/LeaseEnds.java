package org.cottontack.daemon.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaseEndBounds;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.WorkerIncarnation;

/**
 * Translates the ends of leases of unreachable workers, and until when starts may be carried out,
 * between this instance's monotonic clock and the store's clock, which all instances can read. A
 * time that is waited for never becomes earlier.
 */
final class LeaseEnds {

  private record Time(long millis, long storeMillis) {}

  private enum Kind {
    LEASE_END,
    MIN_PIN_END,
    EXPIRY,
    IGNORED_START
  }

  /** What a time belongs to. */
  private record Key(Kind kind, Object of) {
    static final Key IGNORED = new Key(Kind.IGNORED_START, "");
  }

  private final StoreClock clock;
  private final Map<Key, Time> known = new HashMap<>();

  LeaseEnds(StoreClock clock) {
    this.clock = clock;
  }

  /**
   * Returns stored ends on the monotonic clock. While the store's clock is unknown, an end may have
   * passed already.
   *
   * @param stored ends on the store's clock
   * @param latestMillis when all leases of any worker have ended, on the monotonic clock
   */
  Map<WorkerIncarnation, LeaseEndBounds> fromStore(
      Map<WorkerIncarnation, Long> stored, long latestMillis, Moment now) {
    Map<WorkerIncarnation, LeaseEndBounds> ends = new HashMap<>();
    stored.forEach(
        (worker, storeMillis) -> {
          long latest = read(new Key(Kind.LEASE_END, worker), storeMillis, latestMillis);
          long earliest = clock.earliest(storeMillis, now).orElse(now.mono());
          ends.put(worker, new LeaseEndBounds(Math.min(earliest, latest), latest));
        });
    return ends;
  }

  /**
   * Returns on the monotonic clock until when starts may be carried out: at any time while the
   * store's clock is unknown.
   *
   * @param stored times on the store's clock
   */
  Map<RunKey, StartExpiry> startsFromStore(Map<RunKey, StartExpiry> stored) {
    Map<RunKey, StartExpiry> starts = new HashMap<>();
    stored.forEach(
        (run, expiry) ->
            starts.put(
                run,
                new StartExpiry(
                    read(new Key(Kind.MIN_PIN_END, run), expiry.minPinEndMillis(), Long.MAX_VALUE),
                    read(new Key(Kind.EXPIRY, run), expiry.expiresMillis(), Long.MAX_VALUE))));
    return starts;
  }

  /** Returns on the monotonic clock when the latest ignored start was sent. */
  OptionalLong ignoredFromStore(OptionalLong stored, Moment now) {
    return stored.isEmpty()
        ? stored
        : OptionalLong.of(read(Key.IGNORED, stored.getAsLong(), now.mono()));
  }

  private long read(Key key, long storeMillis, long latestMillis) {
    long millis = Math.min(latestMillis, clock.reached(storeMillis).orElse(latestMillis));
    known.put(key, new Time(millis, storeMillis));
    return millis;
  }

  /**
   * Returns facts on the store's clock. A time that was read from the store, or written, keeps its
   * value: translated again at each change of leaders it would become later. Times are left out
   * while the store's clock is unknown.
   *
   * @param facts facts on the monotonic clock
   */
  RecoveryFacts toStore(RecoveryFacts facts, Moment now) {
    Set<Key> written = new HashSet<>();
    Map<WorkerIncarnation, Long> ends = new HashMap<>();
    facts
        .leaseEnds()
        .forEach(
            (worker, end) -> {
              Key key = new Key(Kind.LEASE_END, worker);
              written.add(key);
              write(key, end, now).ifPresent(millis -> ends.put(worker, millis));
            });
    Map<RunKey, StartExpiry> starts = new HashMap<>();
    facts
        .starts()
        .forEach(
            (run, expiry) -> {
              Key pin = new Key(Kind.MIN_PIN_END, run);
              Key end = new Key(Kind.EXPIRY, run);
              written.add(pin);
              written.add(end);
              Optional<Long> expires = write(end, expiry.expiresMillis(), now);
              write(pin, expiry.minPinEndMillis(), now)
                  .ifPresent(
                      millis -> starts.put(run, new StartExpiry(millis, expires.orElseThrow())));
            });
    OptionalLong ignored =
        facts.ignoredStart().stream()
            .mapToObj(sent -> write(Key.IGNORED, sent, now))
            .flatMap(Optional::stream)
            .mapToLong(Long::longValue)
            .findFirst();
    ignored.ifPresent(millis -> written.add(Key.IGNORED));
    known.keySet().retainAll(written);
    return new RecoveryFacts(ends, starts, ignored);
  }

  /** Returns a time on the store's clock; empty while that is unknown. */
  private Optional<Long> write(Key key, long millis, Moment now) {
    Time before = known.get(key);
    if (before == null || before.millis() != millis) {
      known.remove(key);
      OptionalLong storeNow = clock.latest(now);
      storeNow.ifPresent(
          then ->
              known.put(key, new Time(millis, Math.max(0, then + leftMillis(key, millis, now)))));
    }
    return Optional.ofNullable(known.get(key)).map(Time::storeMillis);
  }

  /** Returns the time until a time; an end that has passed is written as one that passes now. */
  private static long leftMillis(Key key, long millis, Moment now) {
    long left = millis - now.mono();
    return key.equals(Key.IGNORED) ? left : Math.max(0, left);
  }
}
