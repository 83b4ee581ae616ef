package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobPhase;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests that the answers to callers are correct, whatever happens to the store's responses. */
public class IntakeTest {

  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  private static JobSpec job() {
    return TestJobs.job(ID, 2);
  }

  private static Intake intake(TableStore store, Timers timers) {
    WatchedStore watched = new WatchedStore(store, timers);
    return new JobEntry(TestJobs.INSTANCE, 120_000, watched, timers, null, null, null).intake();
  }

  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final List<Intake.Answer> answers = new ArrayList<>();

    Intake instance() {
      VirtualTimers.View process = time.process();
      return intake(store.seenBy(process, call -> true), process);
    }

    void submit(Intake intake) {
      intake.submit(job(), OptionalLong.of(2_950), answers::add);
    }
  }

  /** Submissions. */
  public static class Submitting {

    @Test
    public void storesTheJobAndCountsItAsWaiting() {
      Simulation simulation = new Simulation();
      Intake intake = simulation.instance();
      simulation.submit(intake);
      simulation.time.run(100);
      assertEquals(simulation.answers, List.of(Intake.Answer.STORED));
      assertEquals(simulation.store.table(JobTables.JOBS).keySet(), Set.of(ID.value()));
      List<OptionalLong> counts = new ArrayList<>();
      intake.waiting("queue", counts::add);
      simulation.time.run(200);
      assertEquals(counts, List.of(OptionalLong.of(1)));
    }

    /**
     * The same submission reaches two instances at the same moment. Both accept it, but it is
     * stored only once, because the key of its row depends only on its identifier.
     */
    @Test
    public void storesOneJobFromTwoInstances() {
      Simulation simulation = new Simulation();
      simulation.submit(simulation.instance());
      simulation.submit(simulation.instance());
      simulation.time.run(100);
      assertEquals(simulation.answers, List.of(Intake.Answer.STORED, Intake.Answer.STORED));
      assertEquals(simulation.store.table(JobTables.JOBS).size(), 1);
    }

    /**
     * The write is carried out and its response is lost. The repeated write finds the row, which
     * shows that the job is stored, so the answer to the caller must be "stored".
     */
    @Test
    public void reportsStoredWhenTheResponseIsLost() {
      Simulation simulation = new Simulation();
      boolean[] first = {true};
      simulation.store.commitBehaviour =
          change -> {
            FakeTableStore.CommitBehaviour behaviour =
                first[0]
                    ? FakeTableStore.CommitBehaviour.ANSWER_LOST
                    : FakeTableStore.CommitBehaviour.GOOD;
            first[0] = false;
            return behaviour;
          };
      simulation.submit(simulation.instance());
      simulation.time.run(1_000);
      assertEquals(simulation.answers, List.of(Intake.Answer.STORED));
    }

    /**
     * The store refuses every call. The caller must be rejected soon, and nothing may be stored
     * later.
     */
    @Test
    public void rejectsSoonWhenTheStoreRefuses() {
      Simulation simulation = new Simulation();
      simulation.store.commitBehaviour = change -> FakeTableStore.CommitBehaviour.REFUSED;
      simulation.submit(simulation.instance());
      simulation.time.run(400);
      assertEquals(simulation.answers, List.of(Intake.Answer.REJECTED));
      simulation.time.run(5_000);
      assertTrue(simulation.store.table(JobTables.JOBS).isEmpty());
    }

    /** Guards against a submission that can never be stored and gets no answer. */
    @Test
    public void refusesAtOnceWhatCanNeverBeStored() {
      Simulation simulation = new Simulation();
      List<Intake.Answer> answers = new ArrayList<>();
      JobSpec job = TestJobs.withPayload(new JobId("large"), TestJobs.randomText(100_000));
      simulation.instance().submit(job, OptionalLong.empty(), answers::add);
      assertEquals(answers, List.of(Intake.Answer.TOO_LARGE));
      simulation.time.run(5_000);
      assertEquals(answers, List.of(Intake.Answer.TOO_LARGE));
      assertTrue(simulation.store.table(JobTables.JOBS).isEmpty());
    }

    /** Guards against a job that is accepted although no leader can hold all its tasks. */
    @Test
    public void refusesAtOnceWhatNoLeaderCanHold() {
      Simulation simulation = new Simulation();
      List<Intake.Answer> answers = new ArrayList<>();
      JobSpec job = TestJobs.job(new JobId("large"), 2_000_000_000);
      simulation.instance().submit(job, OptionalLong.empty(), answers::add);
      simulation.time.run(1_000);
      assertEquals(answers, List.of(Intake.Answer.TOO_LARGE));
    }

    /** Guards against a refusal of a submission that can be stored. */
    @Test
    public void storesLargeSubmissions() {
      Simulation simulation = new Simulation();
      List<Intake.Answer> answers = new ArrayList<>();
      JobSpec job = TestJobs.withPayload(new JobId("large"), "payload ".repeat(50_000));
      simulation.instance().submit(job, OptionalLong.empty(), answers::add);
      simulation.time.run(1_000);
      assertEquals(answers, List.of(Intake.Answer.STORED));
    }

    /** Guards against a content that the store refuses and that is sent until the deadline. */
    @Test
    public void answersOnceTheStoreRefusesTheContent() {
      Simulation simulation = new Simulation();
      simulation.store.commitBehaviour = change -> FakeTableStore.CommitBehaviour.INVALID;
      simulation.submit(simulation.instance());
      simulation.time.run(50);
      assertEquals(simulation.answers, List.of(Intake.Answer.INVALID));
    }

    /**
     * The first write gets no response and is carried out seconds later; all others are refused. A
     * rejection would be wrong, because the job will run: the answer must be "unknown".
     */
    @Test
    public void neverRejectsWhatMayStillBeStored() {
      Simulation simulation = new Simulation();
      boolean[] first = {true};
      simulation.store.commitBehaviour =
          change -> {
            FakeTableStore.CommitBehaviour behaviour =
                first[0]
                    ? FakeTableStore.CommitBehaviour.LATE
                    : FakeTableStore.CommitBehaviour.REFUSED;
            first[0] = false;
            return behaviour;
          };
      simulation.submit(simulation.instance());
      simulation.time.run(5_000);
      assertEquals(simulation.answers, List.of(Intake.Answer.UNKNOWN));
      assertEquals(simulation.store.table(JobTables.JOBS).size(), 1);
    }
  }

  /** Submissions at intervals of 100 ms while the store is unreachable or slow. */
  public static class Submitting100MillisApart {

    private static final long TIMEOUT_MILLIS = 3_000;

    /** The answer that one caller received, and when. */
    private record Result(long submittedMillis, long latencyMillis, Intake.Answer answer) {}

    private static final class Callers {
      final Simulation simulation = new Simulation();
      final VirtualTimers.View process = simulation.time.process();
      final List<Result> results = new ArrayList<>();
      private final WatchedStore store;
      private final Intake intake;
      private int count;
      boolean disconnected;

      Callers() {
        store = new WatchedStore(simulation.store.seenBy(process, call -> !disconnected), process);
        intake =
            new JobEntry(TestJobs.INSTANCE, 120_000, store, process, null, null, null).intake();
        new TableWatcher(store, process, "op", List.of(""), row -> {}, () -> {}).start();
      }

      void run(long millis) {
        for (long at = 0; at < millis; at += 100) {
          long submittedMillis = simulation.time.process().now().mono();
          count++;
          intake.submit(
              TestJobs.job(new JobId(String.format("%016x", count)), 2),
              OptionalLong.of(TIMEOUT_MILLIS),
              answer ->
                  results.add(
                      new Result(submittedMillis, process.now().mono() - submittedMillis, answer)));
          simulation.time.run(100);
        }
      }

      List<Result> submittedAfter(long millis) {
        return results.stream().filter(result -> result.submittedMillis() >= millis).toList();
      }
    }

    /**
     * An instance loses its connection to the store while callers keep arriving. The first callers
     * must receive "unknown" within a second, and later ones an immediate rejection, so that all of
     * them have most of their timeout left to try another instance. Callers that waited until their
     * timeout could not try another instance.
     */
    @Test
    public void answersEarlyWhileDisconnected() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.disconnected = true;
      long disconnectedMillis = callers.process.now().mono();
      callers.run(12_000);
      List<Result> results = callers.submittedAfter(disconnectedMillis);
      assertEquals(results.size(), 120);
      assertTrue(results.stream().allMatch(result -> result.latencyMillis() <= 1_000));
      assertTrue(
          callers.submittedAfter(disconnectedMillis + 900).stream()
              .allMatch(
                  result ->
                      result.answer() == Intake.Answer.REJECTED && result.latencyMillis() < 100));
      assertTrue(results.stream().noneMatch(result -> result.answer() == Intake.Answer.STORED));
    }

    /**
     * The process is paused for 5 s, or gets almost no processor time, and has not read the store's
     * responses. Callers that arrive afterwards must be served, because the store was not silent.
     */
    @Test
    public void acceptsJobsAfterPause() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.process.lateMillis = 5_000;
      callers.run(500);
      callers.process.lateMillis = 0;
      long resumedMillis = callers.process.now().mono();
      callers.run(2_000);
      callers.simulation.time.run(10_000);
      assertTrue(
          callers.submittedAfter(resumedMillis).stream()
              .allMatch(result -> result.answer() == Intake.Answer.STORED));
    }

    /**
     * A job that was rejected while the instance was disconnected must not be stored, neither then
     * nor later.
     */
    @Test
    public void storesNothingThatWasRejected() {
      Callers callers = new Callers();
      callers.disconnected = true;
      callers.run(3_000);
      callers.disconnected = false;
      callers.simulation.time.run(10_000);
      assertTrue(callers.simulation.store.table(JobTables.JOBS).isEmpty());
    }

    /**
     * After the connection is restored, callers must be served again within the duration of two
     * waits for changes.
     */
    @Test
    public void acceptsJobsSoonAfterReconnecting() {
      Callers callers = new Callers();
      callers.disconnected = true;
      callers.run(5_000);
      callers.disconnected = false;
      callers.run(4_000);
      long lastSecond = callers.process.now().mono() - 1_000;
      assertTrue(
          callers.submittedAfter(lastSecond).stream()
              .allMatch(result -> result.answer() == Intake.Answer.STORED));
    }

    /**
     * The store becomes 50 times slower: a partition carries out two transactions per second, and
     * each caller is served in time only if no transaction is sent twice. Repeated sends of
     * transactions that are merely late would delay those of other callers, and callers of a
     * partition with a queue would not be served.
     */
    @Test
    public void sendsOnceToSlowStores() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.simulation.store.transactionMillis = 500;
      final int before = callers.simulation.store.transactions;
      for (int caller = 0; caller < 20; caller++) {
        callers.run(100);
        callers.simulation.time.run(400);
      }
      callers.simulation.time.run(4_000);
      assertEquals(callers.results.size(), 30);
      assertTrue(
          callers.results.stream().allMatch(result -> result.answer() == Intake.Answer.STORED));
      assertTrue(callers.simulation.store.transactions - before <= 24);
    }
  }

  /** States and cancellations. */
  public static class StatesAndCancellations {

    @Test
    public void reportsAbsentOnlyWhatIsNotStored() {
      Simulation simulation = new Simulation();
      Intake intake = simulation.instance();
      List<Intake.State> states = new ArrayList<>();
      intake.state(ID, states::add);
      simulation.time.run(100);
      simulation.submit(intake);
      simulation.time.run(100);
      simulation.instance().state(ID, states::add);
      simulation.time.run(100);
      assertEquals(states.get(0), new Intake.State(true, Optional.empty()));
      assertEquals(states.get(1), new Intake.State(true, Optional.of(JobPhase.QUEUED)));
    }

    /**
     * The stored progress of a job is damaged. The answer to the caller must be "unknown" at once,
     * and not that the job does not exist. Without an answer the caller would wait until its
     * timeout.
     */
    @Test
    public void reportsUnknownForUnreadableProgress() {
      Simulation simulation = new Simulation();
      VirtualTimers.View process = simulation.time.process();
      Transaction change =
          new Transaction(Map.of(), Map.of(JobTables.progress(ID), Payload.of("?")), List.of());
      simulation.store.seenBy(process, call -> true).commit(change, 1_000, result -> {});
      simulation.time.run(100);
      List<Intake.State> states = new ArrayList<>();
      simulation.instance().state(ID, states::add);
      simulation.time.run(100);
      assertEquals(states, List.of(new Intake.State(false, Optional.empty())));
    }

    /**
     * The store does not answer. If an instance reported then that a job does not exist, its caller
     * would treat the job as lost.
     */
    @Test
    public void reportsUnknownWithoutTheStore() {
      Simulation simulation = new Simulation();
      VirtualTimers.View process = simulation.time.process();
      Intake disconnected = intake(simulation.store.seenBy(process, call -> false), process);
      List<Intake.State> states = new ArrayList<>();
      disconnected.state(ID, states::add);
      simulation.time.run(5_000);
      assertEquals(states, List.of(new Intake.State(false, Optional.empty())));
    }

    /** Guards against reporting a cancellation as stored when there is no job to cancel. */
    @Test
    public void reportsAbsentForCancellationsWithoutJob() {
      Simulation simulation = new Simulation();
      Intake intake = simulation.instance();
      intake.cancel(new JobId("never"), OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(100);
      simulation.submit(intake);
      simulation.time.run(100);
      intake.cancel(ID, OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(100);
      assertEquals(
          simulation.answers,
          List.of(Intake.Answer.ABSENT, Intake.Answer.STORED, Intake.Answer.STORED));
      assertEquals(
          simulation.store.table(JobTables.CANCELS), Map.of("never", "0", ID.value(), "1"));
    }

    /**
     * Guards against a job that is stored and runs although its caller received the answer that
     * there is no such job.
     */
    @Test
    public void rejectsSubmissionsAfterTheirCancellation() {
      Simulation simulation = new Simulation();
      Intake intake = simulation.instance();
      intake.cancel(ID, OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(100);
      simulation.submit(simulation.instance());
      simulation.time.run(100);
      assertEquals(simulation.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.CANCELLED));
      assertTrue(simulation.store.table(JobTables.JOBS).isEmpty());
      assertTrue(simulation.store.table(JobTables.WAITING).isEmpty());
      List<Intake.State> states = new ArrayList<>();
      intake.state(ID, states::add);
      simulation.time.run(100);
      assertEquals(states, List.of(new Intake.State(true, Optional.empty())));
    }

    /**
     * Guards against rejecting a resubmission of a job that was accepted before it was cancelled.
     */
    @Test
    public void reportsStoredForResubmissionsOfCancelledJobs() {
      Simulation simulation = new Simulation();
      simulation.submit(simulation.instance());
      simulation.time.run(100);
      simulation.instance().cancel(ID, OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(100);
      simulation.submit(simulation.instance());
      simulation.time.run(100);
      assertEquals(
          simulation.answers,
          List.of(Intake.Answer.STORED, Intake.Answer.STORED, Intake.Answer.STORED));
    }

    /**
     * Guards against a late cancellation that writes a row after its job was removed, because that
     * row would never be removed.
     */
    @Test
    public void writesNoLateCancellationOfRemovedJobs() {
      Simulation simulation = new Simulation();
      simulation.submit(simulation.instance());
      simulation.time.run(100);
      simulation.store.commitBehaviour =
          change ->
              change.writes().containsKey(JobTables.cancel(ID))
                  ? FakeTableStore.CommitBehaviour.LATE
                  : FakeTableStore.CommitBehaviour.GOOD;
      simulation.instance().cancel(ID, OptionalLong.of(500), simulation.answers::add);
      simulation.time.run(1_000);
      VirtualTimers.View process = simulation.time.process();
      Transaction removal = new Transaction(Map.of(), Map.of(), List.of(JobTables.job(ID)));
      simulation.store.seenBy(process, call -> true).commit(removal, 1_000, result -> {});
      simulation.time.run(10_000);
      assertEquals(simulation.answers.get(1), Intake.Answer.UNKNOWN);
      assertTrue(simulation.store.table(JobTables.CANCELS).isEmpty());
    }

    /** Guards against unnecessary store calls for a cancellation, because each call is costly. */
    @Test
    public void cancelsWithOneReadAndOneTransaction() {
      Simulation simulation = new Simulation();
      List<String> calls = new ArrayList<>();
      VirtualTimers.View process = simulation.time.process();
      Intake intake = intake(simulation.store.seenBy(process, calls::add), process);
      List<String> expected = List.of("scan " + JobTables.JOBS, "commit");
      intake.cancel(ID, OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(1_000);
      assertEquals(calls, expected);
      JobId stored = new JobId("stored");
      simulation.instance().submit(TestJobs.job(stored, 1), OptionalLong.empty(), answer -> {});
      simulation.time.run(100);
      calls.clear();
      intake.cancel(stored, OptionalLong.of(3_000), simulation.answers::add);
      simulation.time.run(1_000);
      assertEquals(calls, expected);
      assertEquals(simulation.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.STORED));
    }
  }
}
