package org.cottontack.daemon.job;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaseEndBounds;
import org.cottontack.core.job.WorkerIncarnation;

/**
 * Translates the ends of leases of unreachable workers between this instance's monotonic clock and
 * the store's clock, which all instances can read.
 */
final class LeaseEnds {

  private record End(long millis, long storeMillis) {}

  private final StoreClock clock;
  private final Map<WorkerIncarnation, End> known = new HashMap<>();

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
          long latest = Math.min(latestMillis, clock.reached(storeMillis).orElse(latestMillis));
          long earliest = clock.earliest(storeMillis, now).orElse(now.mono());
          known.put(worker, new End(latest, storeMillis));
          ends.put(worker, new LeaseEndBounds(Math.min(earliest, latest), latest));
        });
    return ends;
  }

  /**
   * Returns ends on the store's clock. An end that was read from the store, or written, keeps its
   * value: translated again at each change of leaders it would become later. Ends are left out
   * while the store's clock is unknown.
   *
   * @param ends ends on the monotonic clock
   */
  Map<WorkerIncarnation, Long> toStore(Map<WorkerIncarnation, Long> ends, Moment now) {
    known.keySet().retainAll(ends.keySet());
    ends.forEach((worker, end) -> translate(end, now, worker));
    Map<WorkerIncarnation, Long> stored = new HashMap<>();
    known.forEach((worker, end) -> stored.put(worker, end.storeMillis()));
    return stored;
  }

  private void translate(long end, Moment now, WorkerIncarnation worker) {
    End before = known.get(worker);
    if (before != null && before.millis() == end) {
      return;
    }
    known.remove(worker);
    OptionalLong storeNow = clock.latest(now);
    storeNow.ifPresent(
        millis -> known.put(worker, new End(end, millis + Math.max(0, end - now.mono()))));
  }
}
