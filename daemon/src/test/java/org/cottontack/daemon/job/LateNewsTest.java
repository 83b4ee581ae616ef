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

/** Tests of what a leader starts while news of the store reaches it late. */
public class LateNewsTest {

  private static final int SEEDS = 100;

  /** How long after a cancellation something may start, in milliseconds. */
  private static final long CANCEL_MILLIS = 3_000;

  /** How long it takes until an answer counts as lost, and longer, in milliseconds. */
  private static final long LOST_MILLIS = 60_000;

  /** What is late in one case. */
  private interface Trouble {

    /** Arranges for it, and returns in how many milliseconds it begins. */
    long begin(StartsSimulation lab, Random random);
  }

  /** Checks that nothing starts too long after a row is in the store, whatever the seed. */
  private static void check(RowKey row, long boundMillis, Trouble trouble) {
    List<String> late =
        IntStream.range(0, SEEDS)
            .mapToObj(seed -> late(seed, row, boundMillis, trouble))
            .filter(text -> !text.isEmpty())
            .toList();
    assertTrue(late.isEmpty(), late.size() + " of " + SEEDS + ": " + late);
  }

  private static String late(int seed, RowKey row, long boundMillis, Trouble trouble) {
    Random random = new Random(seed);
    StartsSimulation lab = new StartsSimulation();
    lab.time.run(500 + random.nextInt(2_000));
    assertTrue(!lab.starts.isEmpty(), "nothing started in seed " + seed);
    long begins = trouble.begin(lab, random);
    lab.writeAfter(Math.max(0, begins - 300 + random.nextInt(1_500)), row);
    lab.time.run(12_000);
    long after = lab.lastStartAfter(row);
    return after > boundMillis ? "seed " + seed + ": " + after + " ms after" : "";
  }

  /** Has one answer of a kind held from a time on, and later ones lost for five seconds more. */
  private static void hold(StartsSimulation lab, String call, long fromMillis, long heldMillis) {
    long from = lab.time.now() + fromMillis;
    long until = from + heldMillis + 5_000;
    boolean[] first = {true};
    lab.store.heldMillis =
        asked -> {
          long now = lab.time.now();
          if (!asked.equals(call) || now < from || now > until) {
            return 0;
          }
          boolean one = first[0];
          first[0] = false;
          return one ? heldMillis : LOST_MILLIS;
        };
  }

  /** One answer lies on its way, and the connection is silent afterwards. */
  private static long held(StartsSimulation lab, String table, Random random) {
    long begins = random.nextInt(1_000);
    lab.writeOthers(20 + random.nextInt(300), 3_000);
    hold(lab, "follow " + table, begins, random.nextInt(1_700));
    return begins;
  }

  /** Another process takes over; each page of a table takes long, and news of it is lost. */
  private static long readSlowly(StartsSimulation lab, String table, Random random) {
    long page = random.nextInt(1_400);
    long until = lab.time.now() + 9_000;
    lab.store.heldMillis =
        call -> {
          boolean news = call.equals("follow " + table) && lab.time.now() < until;
          return news ? LOST_MILLIS : call.equals("scan " + table) ? page : 0;
        };
    lab.restart();
    return random.nextInt(4_000);
  }

  /** The process stands still, with or without its steady clock, and is cut off afterwards. */
  private static long pause(StartsSimulation lab, String table, Random random) {
    long begins = random.nextInt(1_000);
    long pause = 500L + random.nextInt(5_000);
    boolean clockToo = random.nextBoolean();
    lab.writeOthers(20 + random.nextInt(1_500), 3_000);
    lab.pauseAfter(begins, pause, clockToo);
    hold(lab, "follow " + table, begins, 0);
    return begins + random.nextInt((int) pause);
  }

  /** The time of day is set forward or back, and answers are late afterwards. */
  private static long leap(StartsSimulation lab, String table, Random random) {
    long begins = random.nextInt(1_000);
    long leap = random.nextInt(12_000) - 6_000L;
    lab.writeOthers(20 + random.nextInt(1_500), 3_000);
    lab.leapAfter(begins, leap);
    hold(lab, "follow " + table, begins + random.nextInt(1_000), random.nextInt(1_700));
    return begins;
  }

  /** Jobs that are cancelled while the news of it comes late. */
  public static class Cancelling {

    private static void check(Trouble trouble) {
      LateNewsTest.check(StartsSimulation.CANCEL, CANCEL_MILLIS, trouble);
    }

    /** Guards against starts that rely on an answer which lay on its way for a second. */
    @Test
    public void startsNothingLateAfterHeldAnswers() {
      check((lab, random) -> held(lab, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on a table whose first part was read seconds ago. */
    @Test
    public void startsNothingLateAfterSlowReadings() {
      check((lab, random) -> readSlowly(lab, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on what was heard before the process stood still. */
    @Test
    public void startsNothingLateAfterPauses() {
      check((lab, random) -> pause(lab, JobTables.CANCELS, random));
    }

    /** Guards against starts that rely on news whose date the time of day has left behind. */
    @Test
    public void startsNothingLateAfterLeaps() {
      check((lab, random) -> leap(lab, JobTables.CANCELS, random));
    }
  }

  /** Data centres that are to be emptied while the news of it comes late. */
  public static class Evacuating {

    /** How long after the request something may start there, in milliseconds. */
    private static final long EVACUATE_MILLIS = 5_000;

    private static void check(Trouble trouble) {
      LateNewsTest.check(StartsSimulation.EVACUATION, EVACUATE_MILLIS, trouble);
    }

    /** Guards against starts that rely on an answer which lay on its way for a second. */
    @Test
    public void startsNothingLateAfterHeldAnswers() {
      check((lab, random) -> held(lab, "op", random));
    }

    /** Guards against starts that rely on a table that was read long ago. */
    @Test
    public void startsNothingLateAfterSlowReadings() {
      check((lab, random) -> readSlowly(lab, "op", random));
    }

    /** Guards against starts that rely on what was heard before the process stood still. */
    @Test
    public void startsNothingLateAfterPauses() {
      check((lab, random) -> pause(lab, "op", random));
    }

    /** Guards against starts that rely on news whose date the time of day has left behind. */
    @Test
    public void startsNothingLateAfterLeaps() {
      check((lab, random) -> leap(lab, "op", random));
    }

    /** Guards against orders that are carried out long after they left. */
    @Test
    public void nothingBeginsLateByHeldOrders() {
      check(
          (lab, random) -> {
            long begins = random.nextInt(1_000);
            lab.holdOrdersAfter(begins, random.nextInt(8_000));
            return begins;
          });
    }
  }

  /** Workers that are about to leave while the news of it comes late. */
  public static class Draining {

    /** How long after a worker said so something may start there, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private static void check(Trouble trouble) {
      LateNewsTest.check(StartsSimulation.DRAIN, DRAIN_MILLIS, trouble);
    }

    /** Guards against starts that rely on an answer which lay on its way for a second. */
    @Test
    public void startsNothingLateAfterHeldAnswers() {
      check((lab, random) -> held(lab, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against starts that rely on a list that was read long ago. */
    @Test
    public void startsNothingLateAfterSlowReadings() {
      check((lab, random) -> readSlowly(lab, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against starts that rely on what was heard before the process stood still. */
    @Test
    public void startsNothingLateAfterPauses() {
      check((lab, random) -> pause(lab, StartsSimulation.DRAIN.table(), random));
    }

    /** Guards against orders that are carried out long after they left. */
    @Test
    public void nothingBeginsLateByHeldOrders() {
      check(
          (lab, random) -> {
            long begins = random.nextInt(1_000);
            lab.holdOrdersAfter(begins, random.nextInt(6_000));
            return begins;
          });
    }
  }

  /** Orders that are late, though the news is not. */
  public static class Orders {

    /** Longest time until a cancellation is read where nothing is late, in milliseconds. */
    private static final long HEARD_MILLIS = 100;

    /** Guards against orders that are carried out long after they left, and before their stop. */
    @Test
    public void nothingBeginsLateByHeldOrders() {
      LateNewsTest.check(
          StartsSimulation.CANCEL,
          CANCEL_MILLIS,
          (lab, random) -> {
            long begins = random.nextInt(1_000);
            lab.holdOrdersAfter(begins, random.nextInt(6_000));
            return begins;
          });
    }

    /** Guards against orders that wait for their connection while the stop of their run is lost. */
    @Test
    public void nothingLeavesThatWaitedForItsConnection() {
      LateNewsTest.check(
          StartsSimulation.CANCEL,
          HEARD_MILLIS,
          (lab, random) -> {
            lab.connectMillis = random.nextInt(1_000);
            lab.losesStops = true;
            return 500L + random.nextInt(1_000);
          });
    }
  }

  /** What is not to be held back by any of this. */
  public static class Calm {

    /** How far the time of day is set, in milliseconds. */
    private static final List<Long> LEAPS =
        List.of(-5_000L, -1_500L, 0L, 500L, 1_000L, 1_500L, 2_000L, 3_000L, 5_000L, 3_600_000L);

    /** Longest time without a start, in milliseconds: a renewal, and what a start takes. */
    private static final long PAUSE_MILLIS = 570;

    private static StartsSimulation runs(long readMillis, long transactionMillis) {
      StartsSimulation lab = new StartsSimulation();
      lab.store.readMillis = readMillis;
      lab.store.transactionMillis = transactionMillis;
      lab.time.run(20_000);
      return lab;
    }

    /** Guards against starts that wait for news although the store answers at once. */
    @Test
    public void holdsNothingBack() {
      StartsSimulation lab = runs(4, 10);
      assertEquals(lab.heldBack, 0);
      assertTrue(lab.starts.size() > 100, "starts: " + lab.starts.size());
    }

    /** Guards against starts that wait for news whenever the store is slow. */
    @Test
    public void holdsNothingBackAtSlowStores() {
      StartsSimulation lab = runs(240, 500);
      assertEquals(lab.heldBack, 0);
      assertTrue(lab.starts.size() > 20, "starts: " + lab.starts.size());
    }

    private static void loseOne(String table, long millis) {
      StartsSimulation lab = new StartsSimulation();
      hold(lab, "follow " + table, 500, LOST_MILLIS);
      lab.time.run(millis);
      lab.store.heldMillis = call -> 0;
      lab.time.run(5_000);
      assertEquals(lab.heldBack, 0);
    }

    /** Guards against starts that wait for news of cancellations after one lost answer. */
    @Test
    public void holdsNothingBackAfterOneLostAnswer() {
      loseOne(JobTables.CANCELS, 1_000);
    }

    /** Guards against starts that stop for long since the time of day was set. */
    @Test
    public void pausesBrieflyAfterLeaps() {
      Map<Long, Long> pauses =
          LEAPS.stream().collect(Collectors.toMap(leap -> leap, Calm::longestPause));
      List<Long> tooLong =
          LEAPS.stream().filter(leap -> pauses.get(leap) > PAUSE_MILLIS).sorted().toList();
      assertEquals(tooLong, List.of(), "longest pauses by leap: " + new TreeMap<>(pauses));
    }

    private static long longestPause(long leapMillis) {
      return IntStream.range(0, 20).mapToLong(i -> pause(leapMillis, 53L * i)).max().orElseThrow();
    }

    private static long pause(long leapMillis, long offsetMillis) {
      StartsSimulation lab = new StartsSimulation();
      lab.time.run(5_000 + offsetMillis);
      long from = lab.time.now();
      lab.process.leapMillis = leapMillis;
      lab.time.run(6_000);
      List<Long> starts =
          Stream.concat(Stream.of(from), lab.starts.stream().filter(at -> at >= from)).toList();
      return IntStream.range(1, starts.size())
          .mapToLong(i -> starts.get(i) - starts.get(i - 1))
          .max()
          .orElse(Long.MAX_VALUE);
    }

    /** Guards against starts that wait for news of evacuations after one lost answer. */
    @Test
    public void holdsNothingBackAfterOneLostAnswerOfTheOperator() {
      loseOne("op", 1_600);
    }
  }
}
