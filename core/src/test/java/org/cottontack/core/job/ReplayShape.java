package org.cottontack.core.job;

import java.util.List;

/**
 * The parameters of a replay.
 *
 * @param name heading in tables
 * @param seed seed that the load is drawn from
 * @param workers number of workers; two thirds have 32 cores, the others 48
 * @param reserved share of the processors that services reserve
 * @param used share of its reservation that a service uses on average
 * @param harmful share of pairs of images that do harm
 * @param shorts jobs of short tasks
 * @param bestEffort jobs of best-effort tasks
 * @param troubles faults and bursts
 * @param lengthMillis time during which jobs arrive
 */
record ReplayShape(
    String name,
    long seed,
    int workers,
    double reserved,
    double used,
    double harmful,
    Work shorts,
    Work bestEffort,
    Troubles troubles,
    long lengthMillis) {

  /**
   * Jobs of one kind.
   *
   * @param perSecond arrivals per second
   * @param width mean number of tasks of a step
   * @param widest largest number of tasks of a step
   * @param cpuMillis what a task asks for, in thousandths of a core
   * @param workMillis duration of a task
   */
  record Work(double perSecond, double width, double widest, double cpuMillis, double workMillis) {

    Work times(double factor) {
      return new Work(factor * perSecond, width, widest, cpuMillis, workMillis);
    }
  }

  /**
   * Faults and bursts.
   *
   * @param burst factor on the arrivals of best-effort jobs for six seconds
   * @param lostWorkers number of workers that are lost after a quarter of the time
   * @param slow share of the workers that run everything at a third of the speed
   * @param failing share of the workers that fail everything that they start
   * @param takeoverMillis time between two changes of leaders; 0 for none
   * @param storeOutageMillis how long the store is unavailable after half of the time
   * @param stopMillis longest time that a worker takes to stop a run
   */
  record Troubles(
      double burst,
      int lostWorkers,
      double slow,
      double failing,
      long takeoverMillis,
      long storeOutageMillis,
      long stopMillis) {

    static final Troubles FEW = new Troubles(1.4, 0, 0, 0, 0, 0, 0);
    static final Troubles MANY = new Troubles(2.0, 3, 0.06, 0.04, 9_000, 1_500, 0);

    Troubles bursting(double factor) {
      return new Troubles(
          factor, lostWorkers, slow, failing, takeoverMillis, storeOutageMillis, stopMillis);
    }

    Troubles losing(int workers) {
      return new Troubles(
          burst, workers, slow, failing, takeoverMillis, storeOutageMillis, stopMillis);
    }

    Troubles unsound(double slowShare, double failingShare) {
      return new Troubles(
          burst,
          lostWorkers,
          slowShare,
          failingShare,
          takeoverMillis,
          storeOutageMillis,
          stopMillis);
    }

    Troubles takingOver(long millis) {
      return new Troubles(burst, lostWorkers, slow, failing, millis, storeOutageMillis, stopMillis);
    }

    Troubles storeOutage(long millis) {
      return new Troubles(burst, lostWorkers, slow, failing, takeoverMillis, millis, stopMillis);
    }
  }

  private static final long LENGTH_MILLIS = 40_000;

  /** Services that reserve most of the fleet beside short jobs and narrow best-effort jobs. */
  static ReplayShape usual() {
    return new ReplayShape(
        "usual",
        0,
        45,
        0.8,
        0.45,
        0.35,
        new Work(2.9, 6, 36, 3_100, 1_000),
        new Work(3.88, 8, 32, 3_500, 2_700),
        Troubles.FEW,
        LENGTH_MILLIS);
  }

  /** Wide best-effort jobs, which alone ask for four fifths of what services leave unused. */
  static ReplayShape wide() {
    return new ReplayShape(
        "wide",
        0,
        49,
        0.8,
        0.4,
        0.35,
        new Work(2.03, 10, 60, 3_800, 640),
        new Work(3.05, 20, 80, 3_500, 2_200),
        Troubles.FEW,
        LENGTH_MILLIS);
  }

  /**
   * One and a half times as much work as the free capacity, beside services of which nearly all are
   * harmed by most best-effort images, and a burst: most runs are slowed, and a third is stopped
   * and moved.
   */
  static ReplayShape overloaded() {
    return wide()
        .named("overloaded")
        .sharing(0.8, 0.95)
        .using(0.5)
        .bestEffortTimes(1.6)
        .with(Troubles.FEW.bursting(2));
  }

  /** Large short tasks beside very wide best-effort jobs. */
  static ReplayShape large() {
    return new ReplayShape(
        "large",
        0,
        52,
        0.85,
        0.42,
        0.35,
        new Work(1.23, 8, 46, 6_400, 1_000),
        new Work(1.36, 27, 110, 3_500, 2_700),
        Troubles.FEW,
        LENGTH_MILLIS);
  }

  /** Many small jobs. */
  static ReplayShape narrow() {
    return new ReplayShape(
        "narrow",
        0,
        30,
        0.6,
        0.5,
        0.35,
        new Work(12, 2, 8, 1_000, 400),
        new Work(14, 3, 12, 2_000, 1_500),
        Troubles.FEW,
        LENGTH_MILLIS);
  }

  /**
   * Bursts of wide best-effort jobs beside services that reserve most of the fleet, on workers of
   * which some are slow or fail, with changes of leaders.
   */
  static ReplayShape contended() {
    return new ReplayShape(
        "contended",
        0,
        49,
        0.82,
        0.42,
        0.6,
        new Work(2.58, 9.5, 57, 3_650, 640),
        new Work(2.78, 20, 80, 3_500, 1_700),
        new Troubles(2.4, 1, 0.05, 0.03, 12_000, 1_500, 900),
        36_000);
  }

  /** The same services beside fewer and longer best-effort tasks. */
  static ReplayShape uneven() {
    return new ReplayShape(
        "uneven",
        0,
        49,
        0.82,
        0.42,
        0.6,
        new Work(1.3, 9.5, 57, 4_100, 850),
        new Work(1.53, 20, 80, 3_500, 2_300),
        new Troubles(2.0, 1, 0.05, 0.03, 12_000, 1_500, 900),
        36_000);
  }

  /** Returns the loads of a table. */
  static List<ReplayShape> all() {
    ReplayShape harmful = wide().named("harmful").sharing(0.8, 0.8);
    Troubles few = Troubles.FEW;
    return List.of(
        contended(),
        uneven(),
        usual(),
        usual().named("usual, trouble").with(Troubles.MANY),
        wide(),
        wide().named("wide, half").bestEffortTimes(0.5),
        wide().named("wide, burst").with(few.bursting(2.6)),
        wide().named("wide, trouble").with(Troubles.MANY),
        harmful,
        harmful.named("harmful, burst").with(few.bursting(2.6)),
        harmful.named("harmful, lost").with(few.losing(3)),
        harmful.named("harmful, slow").with(few.unsound(0.06, 0)),
        harmful.named("harmful, failing").with(few.unsound(0, 0.04)),
        harmful.named("harmful, leaders").with(few.takingOver(9_000)),
        harmful.named("harmful, store").with(few.storeOutage(1_500)),
        harmful.named("harmful, trouble").with(Troubles.MANY),
        overloaded(),
        large(),
        narrow());
  }

  ReplayShape using(double share) {
    return new ReplayShape(
        name, seed, workers, reserved, share, harmful, shorts, bestEffort, troubles, lengthMillis);
  }

  ReplayShape named(String other) {
    return new ReplayShape(
        other, seed, workers, reserved, used, harmful, shorts, bestEffort, troubles, lengthMillis);
  }

  ReplayShape seeded(long other) {
    return new ReplayShape(
        name, other, workers, reserved, used, harmful, shorts, bestEffort, troubles, lengthMillis);
  }

  /** Returns the same with other shares of reserved processors and of harmful pairs. */
  ReplayShape sharing(double reservedShare, double harmfulShare) {
    return new ReplayShape(
        name,
        seed,
        workers,
        reservedShare,
        used,
        harmfulShare,
        shorts,
        bestEffort,
        troubles,
        lengthMillis);
  }

  ReplayShape with(Troubles other) {
    return new ReplayShape(
        name, seed, workers, reserved, used, harmful, shorts, bestEffort, other, lengthMillis);
  }

  ReplayShape bestEffortTimes(double factor) {
    return new ReplayShape(
        name,
        seed,
        workers,
        reserved,
        used,
        harmful,
        shorts,
        bestEffort.times(factor),
        troubles,
        lengthMillis);
  }

  /** Returns the same with fewer workers, proportionally less work, and a shorter time. */
  ReplayShape small(int fewer, long millis) {
    double share = fewer / (double) workers;
    return new ReplayShape(
        name,
        seed,
        fewer,
        reserved,
        used,
        harmful,
        shorts.times(share),
        bestEffort.times(share),
        troubles,
        millis);
  }
}
