package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.Moment;
import org.testng.annotations.Test;

/** Tests of incarnations that may have suppressed completions and whose workers do not return. */
public class UnlistedSuppressionsTest {

  private static final long START_MILLIS = 10_000;
  private static final long DAY_MILLIS = 24 * 3_600_000;
  private static final String QUEUE_LINE = "queue q 1.000 2.000 3.000 4.000 5.000 6";
  private static final String ACKNOWLEDGED_LINE = "acknowledged w0 5";

  /** A leader that restores a learned text and saves its own. */
  private static final class Leader {

    final JobScheduler scheduler =
        new JobScheduler(JobTiming.STANDARD, JobFixtures.TABLE, at(START_MILLIS), START_MILLIS);
    final List<JobEffect> effects = new ArrayList<>();
    private int jobs;

    Leader(String text) {
      handle(START_MILLIS, new JobEvent.LearnedRecovered(text));
    }

    private static Moment at(long millis) {
      return new Moment(millis, millis);
    }

    void handle(long millis, JobEvent event) {
      effects.addAll(scheduler.reduce(at(millis), event));
    }

    void tick(long millis) {
      handle(millis, new JobEvent.Tick(at(millis)));
    }

    /** Returns the text that the next leader reads if this one saves now. */
    String learned(long millis) {
      jobs++;
      JobSpec job = JobFixtures.job("job" + jobs, JobFixtures.step(1, 2, List.of()));
      handle(millis, new JobEvent.JobArrived(job));
      handle(millis, new JobEvent.JobCancelled(job.id()));
      handle(millis, new JobEvent.ProgressSaved());
      return effects.stream()
          .filter(JobEffect.SaveProgress.class::isInstance)
          .map(effect -> ((JobEffect.SaveProgress) effect).learned())
          .filter(text -> !text.isEmpty())
          .reduce("", (before, text) -> text);
    }

    long countCutEvents() {
      return effects.stream()
          .filter(JobEffect.Note.class::isInstance)
          .map(JobEffect.Note.class::cast)
          .filter(note -> note.name().equals("learned.cut"))
          .count();
    }
  }

  private static String suppressingLines(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> "hides i-" + (1_000_000_000 + i) + " " + (1_000_000 + i))
        .collect(Collectors.joining("\n"));
  }

  private static long countSuppressing(String text) {
    return text.lines().filter(line -> line.startsWith("hides")).count();
  }

  /** Space in the text for incarnations with suppressed completions. */
  public static class Share {

    /**
     * Guards against many such incarnations whose lines displace others that the next leader needs.
     */
    @Test
    public void leavesSpaceForOtherLines() {
      Leader leader =
          new Leader(suppressingLines(1_500) + "\n" + ACKNOWLEDGED_LINE + "\n" + QUEUE_LINE);
      List<String> kept = leader.learned(START_MILLIS + 3_000).lines().toList();
      assertTrue(kept.contains(ACKNOWLEDGED_LINE), "acknowledged");
      assertTrue(kept.contains(QUEUE_LINE), "queue");
    }

    /** Guards against lines that are left out without a log event, or with one for each save. */
    @Test
    public void logsOnceThatLinesAreLeftOut() {
      Leader leader = new Leader(suppressingLines(1_500) + "\n" + QUEUE_LINE);
      leader.learned(START_MILLIS + 3_000);
      leader.learned(START_MILLIS + 6_000);
      assertEquals(leader.countCutEvents(), 1);
    }

    /** Guards against log events where nothing is left out. */
    @Test
    public void logsNothingWhenAllFits() {
      Leader leader = new Leader(suppressingLines(100) + "\n" + QUEUE_LINE);
      assertEquals(countSuppressing(leader.learned(START_MILLIS + 3_000)), 100);
      assertEquals(leader.countCutEvents(), 0);
    }
  }

  /** When incarnations are removed. */
  public static class Expiry {

    /**
     * Guards against incarnations that never return and are passed on from leader to leader
     * indefinitely.
     */
    @Test
    public void removesIncarnationsThatDoNotReturn() {
      Leader leader = new Leader(suppressingLines(3));
      leader.tick(START_MILLIS + DAY_MILLIS);
      assertEquals(countSuppressing(leader.learned(START_MILLIS + DAY_MILLIS)), 0);
    }

    /**
     * Guards against an incarnation that is forgotten while its worker is cut off from the store
     * for an hour.
     */
    @Test
    public void keepsIncarnationsForAnHour() {
      Leader leader = new Leader(suppressingLines(3));
      leader.tick(START_MILLIS + 3_600_000);
      assertEquals(countSuppressing(leader.learned(START_MILLIS + 3_600_000)), 3);
    }

    /**
     * Guards against an incarnation that is forgotten while its worker is listed and does not
     * answer.
     */
    @Test
    public void doesNotCountWhileListed() {
      WorkerInfo listed = new SimulatedWorker("w0", 8).info;
      Leader leader = new Leader("hides w0 " + listed.incarnation().startTimeMillis());
      leader.handle(START_MILLIS, new JobEvent.WorkerSeen(listed));
      leader.tick(START_MILLIS + DAY_MILLIS);
      assertEquals(countSuppressing(leader.learned(START_MILLIS + DAY_MILLIS)), 1);
    }

    /**
     * Guards against leaving out the latest incarnations in favour of those that are unlisted for
     * longest.
     */
    @Test
    public void keepsLatestWhereNotAllFit() {
      Leader leader = new Leader(suppressingLines(1_500));
      String text = leader.learned(START_MILLIS + 3_000);
      assertTrue(text.contains("hides i-1000000000 "));
      assertFalse(text.contains("hides i-1000001499 "));
    }
  }
}
