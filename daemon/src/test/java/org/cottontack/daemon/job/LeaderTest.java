package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobPhase;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.peer.Payload;
import org.cottontack.wire.JobCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of a leader over a store that loses or delays responses, or carries calls out late. */
public class LeaderTest {

  /** Starts of submitted jobs. */
  public static class Starting {

    @Test
    public void startsSubmittedJobs() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(500);
      assertEquals(simulation.starts.size(), 1);
      simulation.time.run(1_000);
      assertTrue(simulation.store.table(JobTables.WAITING).isEmpty());
    }

    /**
     * Guards against starts without updates of cancellations. Other instances go on confirming
     * cancellations to callers while this leader receives jobs but no cancellations; after two
     * seconds of that it must start nothing, and it must go on when the updates return.
     */
    @Test
    public void startsNothingWithoutCancellationUpdates() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.unansweredCall = "follow " + JobTables.CANCELS;
      simulation.time.run(4_000);
      simulation.submit("a");
      simulation.time.run(2_000);
      assertEquals(simulation.starts.size(), 0);
      simulation.unansweredCall = "nothing";
      simulation.time.run(3_000);
      assertEquals(simulation.starts.size(), 1);
    }
  }

  /** Polls of workers. */
  public static class Polling {

    /** Clocks that stop while the process is suspended, or go on. */
    @DataProvider
    public Object[][] clocks() {
      return new Object[][] {{true}, {false}};
    }

    /** Guards against acknowledgements that leave so late that nobody expects them any more. */
    @Test(dataProvider = "clocks")
    public void givesPollsUpThatWaitedThroughPause(boolean clockStops) {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(1_000);
      simulation.pollConnectMillis = 20;
      simulation.onPoll =
          () -> {
            simulation.onPoll = () -> {};
            simulation.process.pause(4_000, clockStops);
          };
      simulation.time.run(10_000);
      assertTrue(simulation.pollsSent > 0);
      assertTrue(
          simulation.longestPollDelayMillis <= LeaderLease.LEASE_MILLIS,
          "delay " + simulation.longestPollDelayMillis);
    }

    /** Guards against polls that are given up although they waited only for a connection. */
    @Test
    public void sendsPollsThatWaitedForTheirConnection() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.pollConnectMillis = 1_000;
      simulation.submit("a");
      simulation.time.run(10_000);
      assertTrue(simulation.pollsSent >= 4, "polls " + simulation.pollsSent);
    }
  }

  /** What a leader says about its own work. */
  public static class Work {

    private static String metric(LeaderSimulation simulation, String name) {
      return simulation
          .entry
          .metrics()
          .text()
          .lines()
          .filter(line -> line.startsWith("cottontack_" + name + " "))
          .map(line -> line.substring(line.indexOf(' ') + 1))
          .findFirst()
          .orElse("");
    }

    @Test
    public void countsPlacements() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(500);
      assertEquals(metric(simulation, "placement_placed_total"), "1");
      assertEquals(metric(simulation, "placement_searches_total"), "1");
    }

    /** Guards against a pass over all that waits for each of many events that arrive together. */
    @Test
    public void decidesOnceForEventsThatArriveTogether() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.time.run(1_000);
      int before = Integer.parseInt(metric(simulation, "leader_decision_seconds_count"));
      for (int number = 0; number < 50; number++) {
        simulation.submit("job" + number);
        simulation.time.run(1);
      }
      int decisions =
          Integer.parseInt(metric(simulation, "leader_decision_seconds_count")) - before;
      assertTrue(decisions <= 50 / 10 + 2, "decisions " + decisions);
      simulation.time.run(1_000);
      assertEquals(metric(simulation, "placement_placed_total"), "50");
    }

    /** Numbers of workers, up to the size to design for. */
    @DataProvider
    public Object[][] fleets() {
      return new Object[][] {{50}, {245}, {470}};
    }

    /** Guards against a start that waits until the reports of all workers are handled. */
    @Test(dataProvider = "fleets")
    public void startsBetweenReportsOfManyWorkers(int workers) {
      LeaderSimulation simulation = new LeaderSimulation(workers);
      long[] reportsBeforeStart = {-1};
      simulation.onStart = () -> reportsBeforeStart[0] = reports(simulation);
      simulation.store.commitBehaviour =
          transaction -> {
            if (transaction.writes().containsKey(JobTables.progress(new JobId("a")))) {
              simulation.reportTogether(simulation.store.transactionMillis);
            }
            return FakeTableStore.CommitBehaviour.GOOD;
          };
      final long before = reports(simulation);
      simulation.submit("a");
      simulation.time.run(500);
      assertTrue(
          reportsBeforeStart[0] - before <= ReportQueue.ROUND_SIZE,
          "reports before the start: " + (reportsBeforeStart[0] - before));
      assertTrue(reports(simulation) - before >= workers);
    }

    private static long reports(LeaderSimulation simulation) {
      return Long.parseLong(metric(simulation, "events_workerreported_total"));
    }

    /** Guards against starts that leave late without a sign of it. */
    @Test
    public void showsHowLateStartsLeave() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.connectMillis = 200;
      simulation.submit("a");
      simulation.time.run(1_000);
      String delay = metric(simulation, "leader_startDelay_seconds{quantile=\"0.99\"}");
      assertTrue(Double.parseDouble(delay) >= 0.2, delay);
    }

    /** Guards against a leader whose thread is behind without a sign of it. */
    @Test
    public void showsHowFarItIsBehind() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.time.run(1_000);
      simulation.process.lateMillis = 300;
      simulation.time.run(2_000);
      String late = metric(simulation, "leader_late_seconds{quantile=\"0.99\"}");
      assertTrue(Double.parseDouble(late) >= 0.29, late);
    }
  }

  /** Starts while data centres are evacuated. */
  public static class Evacuating {

    private static final Set<DataCentreId> HERE = Set.of(new DataCentreId("dc"));

    /** Guards against a start by a leader that took over after the operator's request. */
    @Test
    public void startsNothingThereAfterTakingOver() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.evacuated = HERE;
      simulation.restart();
      simulation.time.run(10_000);
      simulation.submit("a");
      simulation.time.run(3_000);
      assertEquals(simulation.entry.leadingEpoch(), 2);
      assertEquals(simulation.starts.size(), 0);
      simulation.operator.accept(Set.of());
      simulation.time.run(500);
      assertEquals(simulation.starts.size(), 1);
    }

    /**
     * Guards against sending an order that is still waiting for its connection when the request
     * comes.
     */
    @Test
    public void sendsNoOrderThatWaitedForItsConnection() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.connectMillis = 200;
      simulation.submit("a");
      simulation.time.run(100);
      simulation.operator.accept(HERE);
      simulation.time.run(3_000);
      assertEquals(simulation.starts.size(), 0);
    }

    /** Guards against starts by a leader that no longer receives requests of the operator. */
    @Test
    public void startsNothingWithoutEvacuationUpdates() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.rulesMillis = simulation.process.now().mono();
      simulation.time.run(4_000);
      simulation.submit("a");
      simulation.time.run(2_000);
      assertEquals(simulation.starts.size(), 0);
      simulation.rulesMillis = 0;
      simulation.time.run(1_000);
      assertEquals(simulation.starts.size(), 1);
    }
  }

  /** Saving of progress. */
  public static class Saving {

    /**
     * The progress of one job is unreadable, because of damage or another version. The tasks of
     * this job must not be started again, because they may run or be done; all other jobs go on.
     */
    @Test
    public void continuesDespiteUnreadableProgress() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(1_000);
      assertEquals(simulation.starts.size(), 1);
      simulation.running.clear();
      simulation.write(JobTables.progress(new JobId("a")), "r\n0 0 zero p 1");
      simulation.restart();
      simulation.time.run(30_000);
      simulation.submit("b");
      simulation.time.run(1_000);
      assertEquals(simulation.starts.get(1).task().job(), new JobId("b"));
      assertEquals(simulation.starts.size(), 2);
    }

    /**
     * A version of this program that cannot read a job leads for a while. The job is open and its
     * caller waits, so its rows must stay for a leader that can read them.
     */
    @Test
    public void keepsUnreadableOpenJobs() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(1_000);
      RowKey row = JobTables.job(new JobId("a"));
      simulation.write(row, "no job");
      simulation.restart();
      simulation.time.run(300_000);
      assertTrue(simulation.store.table(JobTables.JOBS).containsKey("a"));
      assertTrue(simulation.store.table(JobTables.PROGRESS).containsKey("a"));
    }

    /** Rows of a job, one of which the next leader cannot read. */
    @DataProvider
    public Object[][] rows() {
      JobId id = new JobId("a");
      return new Object[][] {{JobTables.job(id)}, {JobTables.progress(id)}};
    }

    /** Guards against a leader that stops the runs of a job because it cannot read its rows. */
    @Test(dataProvider = "rows")
    public void keepsRunsOfUnreadableJobs(RowKey row) {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(1_000);
      assertEquals(simulation.running.size(), 1);
      simulation.write(row, "unreadable");
      simulation.restart();
      simulation.time.run(30_000);
      assertEquals(simulation.entry.leadingEpoch(), 2);
      assertEquals(simulation.running.size(), 1);
      assertEquals(simulation.starts.size(), 1);
    }

    /**
     * A save of progress gets no response and is carried out three seconds later, after newer
     * saves. It must not restore the old progress, or the next leader would run finished work
     * again.
     */
    @Test
    public void lateDuplicateSavesChangeNothing() {
      LeaderSimulation simulation = new LeaderSimulation();
      boolean[] first = {true};
      simulation.store.commitBehaviour =
          change -> {
            boolean progress = change.writes().keySet().stream().anyMatch(JobTables.FENCE::equals);
            if (progress && first[0]) {
              first[0] = false;
              return FakeTableStore.CommitBehaviour.LATE;
            }
            return FakeTableStore.CommitBehaviour.GOOD;
          };
      simulation.submit("a");
      simulation.time.run(1_000);
      simulation.submit("b");
      simulation.time.run(500);
      String before = simulation.store.table(JobTables.PROGRESS).toString();
      assertEquals(simulation.starts.size(), 2);
      simulation.time.run(4_000);
      assertEquals(simulation.store.table(JobTables.PROGRESS).toString(), before);
    }

    /** Ways in which the store fails each transaction with a row of one job. */
    @DataProvider
    public Object[][] failures() {
      return new Object[][] {
        {FakeTableStore.CommitBehaviour.INVALID},
        {FakeTableStore.CommitBehaviour.FAILED},
        {FakeTableStore.CommitBehaviour.REFUSED},
      };
    }

    /** Guards against one row that the store never takes and that stops the saves of all jobs. */
    @Test(dataProvider = "failures")
    public void continuesWhenRowOfOneJobIsNeverTaken(FakeTableStore.CommitBehaviour failure) {
      LeaderSimulation simulation = new LeaderSimulation();
      RowKey refused = JobTables.progress(new JobId("a"));
      simulation.store.commitBehaviour =
          change ->
              change.writes().containsKey(refused) ? failure : FakeTableStore.CommitBehaviour.GOOD;
      simulation.submit("a");
      simulation.submit("b");
      simulation.time.run(10_000);
      simulation.submit("c");
      simulation.time.run(3_000);
      assertEquals(
          simulation.starts.stream().map(run -> run.task().job()).toList(),
          List.of(new JobId("b"), new JobId("c")));
      assertEquals(simulation.entry.leadingEpoch(), 1);
    }

    /**
     * The response to a save is lost although the save is done: the leader goes on, and starts the
     * task once.
     */
    @Test
    public void continuesWhenSaveResponsesAreLost() {
      LeaderSimulation simulation = new LeaderSimulation();
      boolean[] first = {true};
      simulation.store.commitBehaviour =
          change -> {
            boolean progress = change.writes().keySet().stream().anyMatch(JobTables.FENCE::equals);
            if (progress && first[0]) {
              first[0] = false;
              return FakeTableStore.CommitBehaviour.ANSWER_LOST;
            }
            return FakeTableStore.CommitBehaviour.GOOD;
          };
      simulation.submit("a");
      simulation.time.run(2_000);
      assertEquals(simulation.starts.size(), 1);
      assertEquals(simulation.entry.leadingEpoch(), 1);
    }
  }

  /** Jobs with more tasks than a row of the store holds. */
  public static class LargeJobs {

    private static final JobId LARGE = new JobId("large");
    private static final JobId SMALL = new JobId("small");

    private static LeaderSimulation withLargeJob() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.checkpoint = "00000bb87a21d94b-a7c4e19b0d52f836ac1";
      simulation.completesRuns = true;
      simulation.submit(TestJobs.job(LARGE, 1_500));
      return simulation;
    }

    private static void assertComplete(LeaderSimulation simulation) {
      simulation.submit(TestJobs.job(SMALL, 1));
      simulation.time.run(3_000);
      Map<String, String> progress = simulation.store.table(JobTables.PROGRESS);
      assertEquals(progress.get(SMALL.value()).charAt(0), 'c');
      assertEquals(progress.get(LARGE.value()).charAt(0), 'c');
    }

    /** Guards against a job that outgrows its row and is never complete, or stops all others. */
    @Test
    public void completeBesideSmallOnes() {
      LeaderSimulation simulation = withLargeJob();
      simulation.time.run(60_000);
      assertComplete(simulation);
      assertEquals(simulation.starts.size(), 1_501);
    }

    /** Guards against a stored job with too many tasks that ends every leader. */
    @Test
    public void areLeftAloneWhereNoLeaderCanHoldThem() {
      LeaderSimulation simulation = new LeaderSimulation();
      JobSpec job = TestJobs.job(LARGE, 2_000_000_000);
      simulation.write(Map.of(JobTables.job(LARGE), Payload.of(JobCodec.write(job))));
      simulation.submit("b");
      simulation.time.run(1_000);
      assertEquals(simulation.starts.size(), 1);
      simulation.restart();
      simulation.submit("c");
      simulation.time.run(10_000);
      assertEquals(simulation.starts.size(), 2);
    }

    /** Guards against a next leader that does not find all rows of a large job. */
    @Test
    public void completeUnderTheNextLeader() {
      LeaderSimulation simulation = withLargeJob();
      simulation.time.run(2_000);
      assertTrue(simulation.starts.size() < 1_000);
      simulation.restart();
      simulation.time.run(60_000);
      assertComplete(simulation);
      assertEquals(simulation.starts.size(), 1_501);
      assertEquals(simulation.store.table(JobTables.PROGRESS_TASKS), Map.of());
    }

    /** Guards against rows of tasks that stay after their job has been removed. */
    @Test
    public void leaveNothingBehind() {
      LeaderSimulation simulation = withLargeJob();
      simulation.time.run(60_000);
      assertComplete(simulation);
      simulation.time.run(200_000);
      assertEquals(simulation.store.table(JobTables.JOBS), Map.of());
      assertEquals(simulation.store.table(JobTables.PROGRESS_TASKS), Map.of());
    }
  }

  /** Larger instances that request leadership. */
  public static class YieldingLeadership {

    private static final class LargerCandidate implements Leadership.Listener {
      final List<Long> won = new ArrayList<>();

      @Override
      public void won(long epoch) {
        won.add(epoch);
      }

      @Override
      public void lost() {}

      @Override
      public boolean mayYieldLeadershipTo(String dataCentre) {
        return true;
      }
    }

    /**
     * A leader still reads the open jobs when a larger instance requests leadership. It must yield
     * at once: reading the rest would take a small leader seconds in which nothing starts.
     */
    @Test
    public void yieldsLeadershipWhileTakingOver() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.unansweredCall = "scan " + JobTables.PROGRESS;
      simulation.restart();
      LargerCandidate large = new LargerCandidate();
      VirtualTimers.View process = simulation.time.process();
      Instance instance = new Instance("large", "dc", new Capacity(4_000, 400_000));
      TableStore store = simulation.store.seenBy(process, call -> true);
      new Leadership(store, process, instance, "large/1", large).start();
      simulation.time.run(1_500);
      assertEquals(large.won, List.of(3L));
    }
  }

  /** Leaders that end while a worker is lost. */
  public static class Ending {

    private static String leaseEnds(LeaderSimulation simulation) {
      return simulation.store.table(JobTables.PROGRESS).getOrDefault("!leaseEnds", "");
    }

    private static LeaderSimulation withRun() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(3_000);
      assertEquals(simulation.starts.size(), 1);
      return simulation;
    }

    /** Guards against a next leader that cannot know when the leases of a lost worker end. */
    @Test
    public void storesEndsOfLeasesOfLostWorkers() {
      LeaderSimulation simulation = withRun();
      assertEquals(leaseEnds(simulation), "");
      simulation.workerLost = true;
      simulation.time.run(2_000);
      assertTrue(leaseEnds(simulation).matches("1\nw 0 \\d+"), leaseEnds(simulation));
      simulation.workerLost = false;
      simulation.time.run(1_000);
      assertEquals(leaseEnds(simulation), "1");
    }

    /**
     * Guards against a wait that begins anew where a leader is stopped before it has noticed that a
     * worker does not answer.
     */
    @Test
    public void storesEndsBeforeStopping() {
      LeaderSimulation simulation = withRun();
      simulation.workerLost = true;
      simulation.restart();
      assertEquals(simulation.entry.leadingEpoch(), 2);
      assertEquals(leaseEnds(simulation), "");
      boolean[] left = {false};
      simulation.entry.stop(() -> left[0] = true);
      simulation.time.run(100);
      assertTrue(left[0]);
      assertTrue(leaseEnds(simulation).matches("2\nw 0 \\d+"), leaseEnds(simulation));
    }

    /**
     * Guards against a wait that begins anew where a leader is stopped less than a poll after a
     * worker has left. The leader gives the worker no lease any more, so the end of the last one is
     * known.
     */
    @Test
    public void storesEndsOfWorkersThatLeaveAsItStops() {
      LeaderSimulation simulation = withRun();
      simulation.drain();
      simulation.time.run(1_000);
      simulation.workerLost = true;
      simulation.time.run(300);
      assertEquals(leaseEnds(simulation), "");
      boolean[] left = {false};
      simulation.entry.stop(() -> left[0] = true);
      simulation.time.run(100);
      assertTrue(left[0]);
      assertTrue(leaseEnds(simulation).matches("1\nw 0 \\d+"), leaseEnds(simulation));
    }

    /**
     * Guards against work that is repeated because a leader that is stopped drops a completion that
     * it has just received, and the worker leaves before the next leader polls it.
     */
    @Test
    public void storesCompletionsBeforeStopping() {
      LeaderSimulation simulation = withRun();
      boolean[] left = {false};
      simulation.onAnswered = () -> simulation.entry.stop(() -> left[0] = true);
      simulation.completesRuns = true;
      simulation.time.run(1_500);
      assertTrue(left[0]);
      String progress = simulation.store.table(JobTables.PROGRESS).get("a");
      assertEquals(StoredProgress.of(progress).phase(), JobPhase.COMPLETE, progress);
    }

    /**
     * Guards against a completion that a worker lists only to a leader whose term has ended, and
     * which the next leader never gets to know where the worker leaves.
     */
    @Test
    public void abandonsPollsBeforeStopping() {
      LeaderSimulation simulation = withRun();
      simulation.entry.stop(() -> {});
      simulation.completesRuns = true;
      simulation.time.run(2_000);
      assertEquals(simulation.running.size(), 1);
    }

    /** Guards against a stop that waits for a store that does not answer. */
    @Test
    public void stopsWithoutTheStore() {
      LeaderSimulation simulation = withRun();
      simulation.workerLost = true;
      simulation.time.run(700);
      simulation.unansweredCall = "commit";
      simulation.time.run(500);
      simulation.entry.stop(() -> {});
      simulation.time.run(600);
      assertEquals(simulation.entry.leadingEpoch(), 0);
    }
  }
}
