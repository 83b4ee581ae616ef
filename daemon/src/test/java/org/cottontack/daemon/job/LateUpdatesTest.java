package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests of what a leader starts while updates from the store reach it late. */
public class LateUpdatesTest {

  private static final int SEEDS = 100;

  /** How long after a cancellation a task may start, in milliseconds. */
  private static final long CANCEL_MILLIS = 3_000;

  /** A delay after which a response counts as lost, in milliseconds. */
  private static final long LOST_MILLIS = 60_000;

  /** The fault of one case. */
  private interface Fault {

    /** Sets up the fault, and returns in how many milliseconds it begins. */
    long begin(StartsSimulation simulation, Random random);
  }

  /** Checks for all seeds that nothing starts later than the limit after a row is stored. */
  private static void check(RowKey row, long boundMillis, Fault fault) {
    List<String> lateStarts =
        IntStream.range(0, SEEDS)
            .mapToObj(seed -> describeLateStart(seed, row, boundMillis, fault))
            .filter(text -> !text.isEmpty())
            .toList();
    assertTrue(lateStarts.isEmpty(), lateStarts.size() + " of " + SEEDS + ": " + lateStarts);
  }

  private static String describeLateStart(int seed, RowKey row, long boundMillis, Fault fault) {
    Random random = new Random(seed);
    StartsSimulation simulation = new StartsSimulation();
    simulation.time.run(500 + random.nextInt(2_000));
    assertTrue(!simulation.starts.isEmpty(), "nothing started in seed " + seed);
    long begins = fault.begin(simulation, random);
    simulation.writeAfter(Math.max(0, begins - 300 + random.nextInt(1_500)), row);
    simulation.time.run(12_000);
    long after = simulation.lastStartAfter(row);
    return after > boundMillis ? "seed " + seed + ": " + after + " ms after" : "";
  }

  /**
   * Delays the first response to a kind of call from a given time on, and loses later ones for five
   * seconds more.
   */
  private static void delayResponse(
      StartsSimulation simulation, String call, long fromMillis, long delayMillis) {
    long from = simulation.time.now() + fromMillis;
    long until = from + delayMillis + 5_000;
    boolean[] first = {true};
    simulation.store.extraLatencyMillis =
        requested -> {
          long now = simulation.time.now();
          if (!requested.equals(call) || now < from || now > until) {
            return 0;
          }
          boolean isFirst = first[0];
          first[0] = false;
          return isFirst ? delayMillis : LOST_MILLIS;
        };
  }

  /** Delays one response, after which the connection is silent. */
  private static long delayOneResponse(StartsSimulation simulation, String table, Random random) {
    long begins = random.nextInt(1_000);
    simulation.writeOtherCancellations(20 + random.nextInt(300), 3_000);
    delayResponse(simulation, "follow " + table, begins, random.nextInt(1_700));
    return begins;
  }

  /** Restarts the process; each page of a table takes long, and its changes are lost. */
  private static long readTablesSlowly(StartsSimulation simulation, String table, Random random) {
    long page = random.nextInt(1_400);
    long until = simulation.time.now() + 9_000;
    simulation.store.extraLatencyMillis =
        call -> {
          boolean watching = call.equals("follow " + table) && simulation.time.now() < until;
          return watching ? LOST_MILLIS : call.equals("scan " + table) ? page : 0;
        };
    simulation.restart();
    return random.nextInt(4_000);
  }

  /** Suspends the process, with or without its monotonic clock, and cuts it off afterwards. */
  private static long pauseProcess(StartsSimulation simulation, String table, Random random) {
    long begins = random.nextInt(1_000);
    long pause = 500L + random.nextInt(5_000);
    boolean clockToo = random.nextBoolean();
    simulation.writeOtherCancellations(20 + random.nextInt(1_500), 3_000);
    simulation.pauseAfter(begins, pause, clockToo);
    delayResponse(simulation, "follow " + table, begins, 0);
    return begins + random.nextInt((int) pause);
  }

  /** Sets the wall clock forward or back, and delays responses afterwards. */
  private static long jumpClock(StartsSimulation simulation, String table, Random random) {
    long begins = random.nextInt(1_000);
    long jump = random.nextInt(12_000) - 6_000L;
    simulation.writeOtherCancellations(20 + random.nextInt(1_500), 3_000);
    simulation.jumpClockAfter(begins, jump);
    delayResponse(
        simulation, "follow " + table, begins + random.nextInt(1_000), random.nextInt(1_700));
    return begins;
  }

  /** Cancellations that are read late. */
  public static class Cancelling {

    private static void check(Fault fault) {
      LateUpdatesTest.check(StartsSimulation.CANCEL, CANCEL_MILLIS, fault);
    }

    /** Guards against starts that rely on a response which was delayed for a second. */
    @Test
    public void startsNothingLateAfterDelayedResponses() {
      check((simulation, random) -> delayOneResponse(simulation, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on a table whose first part was read seconds ago. */
    @Test
    public void startsNothingLateAfterSlowScans() {
      check((simulation, random) -> readTablesSlowly(simulation, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on updates received before the process was suspended. */
    @Test
    public void startsNothingLateAfterPauses() {
      check((simulation, random) -> pauseProcess(simulation, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on updates that are stale by the new wall clock. */
    @Test
    public void startsNothingLateAfterClockJumps() {
      check((simulation, random) -> jumpClock(simulation, JobTables.CANCELS, random));
    }
  }

  /** Evacuations that are read late. */
  public static class Evacuating {

    /** How long after the request a task may start there, in milliseconds. */
    private static final long EVACUATE_MILLIS = 5_000;

    private static void check(Fault fault) {
      LateUpdatesTest.check(StartsSimulation.EVACUATION, EVACUATE_MILLIS, fault);
    }

    /** Guards against starts that rely on a response which was delayed for a second. */
    @Test
    public void startsNothingLateAfterDelayedResponses() {
      check((simulation, random) -> delayOneResponse(simulation, "op", random));
    }

    /** Guards against starts that rely on a table that was read long ago. */
    @Test
    public void startsNothingLateAfterSlowScans() {
      check((simulation, random) -> readTablesSlowly(simulation, "op", random));
    }

    /** Guards against starts that rely on updates received before the process was suspended. */
    @Test
    public void startsNothingLateAfterPauses() {
      check((simulation, random) -> pauseProcess(simulation, "op", random));
    }

    /** Guards against starts that rely on updates that are stale by the new wall clock. */
    @Test
    public void startsNothingLateAfterClockJumps() {
      check((simulation, random) -> jumpClock(simulation, "op", random));
    }

    /** Guards against orders that are carried out long after they were sent. */
    @Test
    public void startsNothingLateByDelayedOrders() {
      check(
          (simulation, random) -> {
            long begins = random.nextInt(1_000);
            simulation.delayOrdersAfter(begins, random.nextInt(8_000));
            return begins;
          });
    }
  }

  /** Announcements of leaving workers that are read late. */
  public static class Draining {

    /** How long after the announcement of a worker a task may start there, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private static void check(Fault fault) {
      LateUpdatesTest.check(StartsSimulation.DRAIN, DRAIN_MILLIS, fault);
    }

    /** Guards against starts that rely on a response which was delayed for a second. */
    @Test
    public void startsNothingLateAfterDelayedResponses() {
      check(
          (simulation, random) ->
              delayOneResponse(simulation, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against starts that rely on a list that was read long ago. */
    @Test
    public void startsNothingLateAfterSlowScans() {
      check(
          (simulation, random) ->
              readTablesSlowly(simulation, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against starts that rely on updates received before the process was suspended. */
    @Test
    public void startsNothingLateAfterPauses() {
      check(
          (simulation, random) -> pauseProcess(simulation, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against orders that are carried out long after they were sent. */
    @Test
    public void startsNothingLateByDelayedOrders() {
      check(
          (simulation, random) -> {
            long begins = random.nextInt(1_000);
            simulation.delayOrdersAfter(begins, random.nextInt(6_000));
            return begins;
          });
    }
  }

  /** Late orders with timely updates. */
  public static class Orders {

    /** Longest time until a cancellation is read without any delay, in milliseconds. */
    private static final long READ_MILLIS = 100;

    /**
     * Guards against orders that are carried out long after they were sent, and before the stop of
     * their run.
     */
    @Test
    public void startsNothingLateByDelayedOrders() {
      LateUpdatesTest.check(
          StartsSimulation.CANCEL,
          CANCEL_MILLIS,
          (simulation, random) -> {
            long begins = random.nextInt(1_000);
            simulation.delayOrdersAfter(begins, random.nextInt(6_000));
            return begins;
          });
    }

    /**
     * Guards against sending orders that waited for their connection while the stop of their run
     * was lost.
     */
    @Test
    public void sendsNothingThatWaitedForItsConnection() {
      LateUpdatesTest.check(
          StartsSimulation.CANCEL,
          READ_MILLIS,
          (simulation, random) -> {
            simulation.connectMillis = random.nextInt(1_000);
            simulation.losesStops = true;
            return 500L + random.nextInt(1_000);
          });
    }
  }

  /** Starts that the limits must not delay. */
  public static class WithoutDelay {

    /** Offsets by which the wall clock is set, in milliseconds. */
    private static final List<Long> CLOCK_JUMPS =
        List.of(-5_000L, -1_500L, 0L, 500L, 1_000L, 1_500L, 2_000L, 3_000L, 5_000L, 3_600_000L);

    /** Longest time without a start, in milliseconds: a renewal, and the duration of a start. */
    private static final long MAX_PAUSE_MILLIS = 570;

    private static StartsSimulation runs(long readMillis, long transactionMillis) {
      StartsSimulation simulation = new StartsSimulation();
      simulation.store.readMillis = readMillis;
      simulation.store.transactionMillis = transactionMillis;
      simulation.time.run(20_000);
      return simulation;
    }

    /** Guards against starts that wait for updates although the store answers at once. */
    @Test
    public void delaysNoStart() {
      StartsSimulation simulation = runs(4, 10);
      assertEquals(simulation.notSent, 0);
      assertTrue(simulation.starts.size() > 100, "starts: " + simulation.starts.size());
    }

    /** Guards against starts that wait for updates whenever the store is slow. */
    @Test
    public void delaysNoStartAtSlowStores() {
      StartsSimulation simulation = runs(240, 500);
      assertEquals(simulation.notSent, 0);
      assertTrue(simulation.starts.size() > 20, "starts: " + simulation.starts.size());
    }

    private static void loseOne(String table, long millis) {
      StartsSimulation simulation = new StartsSimulation();
      delayResponse(simulation, "follow " + table, 500, LOST_MILLIS);
      simulation.time.run(millis);
      simulation.store.extraLatencyMillis = call -> 0;
      simulation.time.run(5_000);
      assertEquals(simulation.notSent, 0);
    }

    /** Guards against starts that wait for cancellation updates after one lost response. */
    @Test
    public void delaysNoStartAfterOneLostResponse() {
      loseOne(JobTables.CANCELS, 1_000);
    }

    /** Guards against a long time without starts after the wall clock was set. */
    @Test
    public void startsAgainSoonAfterClockJumps() {
      Map<Long, Long> pauses =
          CLOCK_JUMPS.stream().collect(Collectors.toMap(jump -> jump, WithoutDelay::longestPause));
      List<Long> tooLong =
          CLOCK_JUMPS.stream()
              .filter(jump -> pauses.get(jump) > MAX_PAUSE_MILLIS)
              .sorted()
              .toList();
      assertEquals(tooLong, List.of(), "longest pauses by clock jump: " + new TreeMap<>(pauses));
    }

    private static long longestPause(long jumpMillis) {
      return IntStream.range(0, 20).mapToLong(i -> pause(jumpMillis, 53L * i)).max().orElseThrow();
    }

    private static long pause(long jumpMillis, long offsetMillis) {
      StartsSimulation simulation = new StartsSimulation();
      simulation.time.run(5_000 + offsetMillis);
      long from = simulation.time.now();
      simulation.process.clockOffsetMillis = jumpMillis;
      simulation.time.run(6_000);
      List<Long> starts =
          Stream.concat(Stream.of(from), simulation.starts.stream().filter(at -> at >= from))
              .toList();
      return IntStream.range(1, starts.size())
          .mapToLong(i -> starts.get(i) - starts.get(i - 1))
          .max()
          .orElse(Long.MAX_VALUE);
    }

    /** Guards against starts that wait for evacuation updates after one lost response. */
    @Test
    public void delaysNoStartAfterOneLostEvacuationResponse() {
      loseOne("op", 1_600);
    }
  }
}
