package org.cottontack.core.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of the scores of workers. */
public class WorkerScoresTest {

  private static final WorkerId BAD = new WorkerId("w 0");
  private static final int WORKERS = 10;

  /** A pool of workers, of which the first is the one in question. */
  private static final class Pool {
    final WorkerScores scores = new WorkerScores();

    WorkerScore score(int worker, long nowMillis) {
      return scores.of(new WorkerId("w " + worker), 7, "pool", nowMillis);
    }

    WorkerScore bad(long nowMillis) {
      return score(0, nowMillis);
    }

    void runs(int worker, int count, double speed, boolean compared, long nowMillis) {
      IntStream.range(0, count)
          .forEach(i -> score(worker, nowMillis).ran(worker + "." + i, speed, compared, nowMillis));
    }

    WorkerRating rating(long nowMillis) {
      refresh(nowMillis);
      return scores.rating(BAD);
    }

    List<WorkerScores.Change> refresh(long nowMillis) {
      Set<WorkerId> known =
          IntStream.range(0, WORKERS)
              .mapToObj(i -> new WorkerId("w " + i))
              .collect(Collectors.toSet());
      return scores.refresh(known, nowMillis);
    }
  }

  /** Expected speeds. */
  public static class Speed {

    /** Guards against a slow worker that is recognised only when its runs end. */
    @Test
    public void fallsWithTheProgressOfTwoRuns() {
      Pool pool = new Pool();
      pool.runs(0, 2, 0.2, true, 1_000);
      assertEquals(pool.rating(1_000).speed(), 0.2, 0.01);
      assertTrue(pool.rating(1_000).suspect());
    }

    /** Guards against a worker that is avoided because one of its tasks is long by nature. */
    @Test
    public void ignoresOneLongTask() {
      Pool pool = new Pool();
      pool.runs(0, 1, 0.14, true, 1_000);
      assertEquals(pool.rating(1_000).speed(), 1.0);
    }

    /** Guards against a pool whose workers are all avoided because callers declare too little. */
    @Test
    public void isRelativeToThePoolWhereEstimatesAreWrong() {
      Pool pool = new Pool();
      IntStream.range(0, WORKERS).forEach(i -> pool.runs(i, 6, 0.3, false, 1_000));
      assertFalse(pool.rating(1_000).suspect());
      pool.runs(0, 6, 0.06, false, 1_000);
      assertTrue(pool.rating(1_000).suspect());
      assertFalse(pool.scores.rating(new WorkerId("w 1")).suspect());
    }

    /** Guards against wrong estimates that exclude the only two workers with runs. */
    @Test
    public void ignoresEstimatesOfTwoWorkers() {
      Pool pool = new Pool();
      pool.runs(0, 6, 0.2, false, 1_000);
      pool.runs(1, 6, 0.2, false, 1_000);
      assertEquals(pool.rating(1_000).speed(), 1.0);
    }

    /** Guards against a worker that stays without work for good after a slow phase. */
    @Test
    public void recoversWithoutEvidence() {
      Pool pool = new Pool();
      pool.runs(0, 4, 0.3, true, 1_000);
      assertTrue(pool.rating(1_000).suspect());
      assertEquals(pool.rating(6_000).speed(), Math.sqrt(0.3), 0.01);
      assertFalse(pool.rating(6_000).suspect());
    }

    /** Guards against evidence from a warm-up that outlasts it. */
    @Test
    public void isNotMeasuredWhileCold() {
      Pool pool = new Pool();
      pool.bad(0).cold(2_000, 0);
      pool.runs(0, 4, 0.2, true, 1_000);
      assertTrue(pool.rating(1_000).slowdown() > 1.5);
      assertFalse(pool.rating(1_000).suspect());
      assertEquals(pool.rating(2_000).slowdown(), 1.0);
    }
  }

  /** Probabilities of success. */
  public static class Success {

    private static Pool failing(Object... jobs) {
      Pool pool = new Pool();
      pool.bad(0).succeeded(0);
      List.of(jobs).forEach(job -> pool.bad(0).failed(job, 0));
      return pool;
    }

    /** Guards against a worker that uses up the attempts of all jobs. */
    @Test
    public void barsAfterFailuresOfThreeJobsUntilTrial() {
      Pool pool = failing("a", "b", "c");
      assertTrue(pool.rating(0).barred());
      assertFalse(pool.rating(5_000).barred());
      pool.bad(5_000).failed("d", 5_000);
      assertTrue(pool.rating(5_000).barred(), "trial failed");
      pool.bad(9_000).succeeded(9_000);
      assertFalse(pool.rating(9_000).suspect(), "trial succeeded");
    }

    /** Guards against a worker that is avoided for the fault of one job. */
    @Test
    public void ignoresRepeatedFailuresOfOneJob() {
      assertFalse(failing("a", "a", "a", "a").rating(0).suspect());
    }

    /** Guards against a worker that is trusted although it has failed all of many runs. */
    @Test
    public void countsFailuresOfAnyNumberOfJobs() {
      Pool pool = new Pool();
      IntStream.range(0, 200).forEach(i -> pool.bad(i * 500L).failed("job" + i, i * 500L));
      assertTrue(pool.rating(100_000).barred());
    }

    /** Guards against a worker that is trusted because it always fails the same jobs. */
    @Test
    public void countsKnownJobsAgainAfterHalfLife() {
      Pool pool = new Pool();
      IntStream.range(0, 40).forEach(i -> pool.bad(i * 2_000L).failed(i % 4, i * 2_000L));
      assertTrue(pool.rating(80_000).barred());
    }

    /** Guards against work on a worker whose connection comes and goes. */
    @Test
    public void fallsWithRepeatedSilence() {
      Pool pool = new Pool();
      pool.bad(0).unanswered(0);
      assertFalse(pool.rating(0).suspect(), "one lost connection");
      pool.bad(2_000).unanswered(2_000);
      assertTrue(pool.rating(2_000).suspect());
      assertFalse(pool.rating(10_000).suspect());
    }
  }

  /** Faults that are not those of one worker. */
  public static class Fleet {

    /** Guards against a pool that is throttled for the silence of all its workers. */
    @Test
    public void toleratesSilenceOfAllWorkers() {
      Pool pool = new Pool();
      IntStream.range(0, WORKERS)
          .forEach(i -> IntStream.range(0, 3).forEach(j -> pool.score(i, 0).unanswered(0)));
      assertFalse(pool.rating(0).suspect());
    }
  }

  /** What the next leader restores. */
  public static class Stored {

    private static Pool restored(Pool from) {
      Pool next = new Pool();
      from.scores.lines().forEach(line -> assertTrue(next.scores.restore(line.split(" "))));
      return next;
    }

    private static Pool slow() {
      Pool pool = new Pool();
      pool.runs(0, 3, 0.2, true, 0);
      pool.runs(1, 3, 1, true, 0);
      assertEquals(pool.refresh(0).size(), 1);
      return pool;
    }

    /** Guards against a change of leaders that sends work to a worker known to be slow. */
    @Test
    public void keepsSuspectWorkers() {
      assertEquals(slow().scores.lines().toList(), List.of("worker w+0 7 0.200 1.000"));
      Pool next = restored(slow());
      next.bad(50_000);
      assertEquals(next.rating(50_000).speed(), 0.2, 0.01);
    }

    /** Guards against a restarted worker that is avoided for what its former incarnation did. */
    @Test
    public void dropsOtherIncarnations() {
      Pool next = restored(slow());
      next.scores.of(BAD, 8, "pool", 50_000);
      assertFalse(next.rating(50_000).suspect());
      Pool same = slow();
      same.scores.of(BAD, 8, "pool", 0);
      assertFalse(same.rating(0).suspect());
    }

    /** Guards against a stored line that replaces the failures this leader has seen. */
    @Test
    public void keepsFailuresSeenBeforeRestoring() {
      Pool pool = new Pool();
      List.of("a", "b", "c", "d").forEach(job -> pool.bad(0).failed(job, 0));
      pool.scores.restore("worker w+0 7 1.000 0.900".split(" "));
      pool.bad(0);
      assertTrue(pool.rating(0).barred());
    }

    /** Guards against a damaged line that makes ratings meaningless. */
    @Test
    public void rejectsDamagedLines() {
      WorkerScores scores = new WorkerScores();
      assertFalse(scores.restore("worker w 7 0.2".split(" ")));
      List.of("worker w 7 NaN 1", "worker w 7 0 1", "worker w 7 0.2 2", "worker w x 1 1")
          .forEach(
              line ->
                  assertThrows(
                      IllegalArgumentException.class, () -> scores.restore(line.split(" "))));
    }
  }
}
