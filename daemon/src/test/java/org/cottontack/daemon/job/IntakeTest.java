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

/**
 * Tests of taking jobs in: what a caller is told is true, whatever becomes of the store's answers.
 */
public class IntakeTest {

  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  private static JobSpec job() {
    return TestJobs.job(ID, 2);
  }

  private static Intake intake(TableStore store, Timers timers) {
    WatchedStore watched = new WatchedStore(store, timers);
    return new JobEntry(TestJobs.INSTANCE, 120_000, watched, timers, null, null, null).intake();
  }

  private static final class Lab {
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
      Lab lab = new Lab();
      Intake intake = lab.instance();
      lab.submit(intake);
      lab.time.run(100);
      assertEquals(lab.answers, List.of(Intake.Answer.STORED));
      assertEquals(lab.store.table(JobTables.JOBS).keySet(), Set.of(ID.value()));
      List<OptionalLong> counts = new ArrayList<>();
      intake.waiting("queue", counts::add);
      lab.time.run(200);
      assertEquals(counts, List.of(OptionalLong.of(1)));
    }

    /**
     * One submission reaches two instances at the same moment. Both tell their callers that it is
     * accepted; it is stored once, since its row follows from its identifier.
     */
    @Test
    public void storesOneJobFromTwoInstances() {
      Lab lab = new Lab();
      lab.submit(lab.instance());
      lab.submit(lab.instance());
      lab.time.run(100);
      assertEquals(lab.answers, List.of(Intake.Answer.STORED, Intake.Answer.STORED));
      assertEquals(lab.store.table(JobTables.JOBS).size(), 1);
    }

    /**
     * The write is done and its answer lost. The repeated write finds the row there, which says
     * that the job is stored; the caller is told so.
     */
    @Test
    public void tellsTheTruthWhenTheAnswerIsLost() {
      Lab lab = new Lab();
      boolean[] first = {true};
      lab.store.fate =
          change -> {
            FakeTableStore.Fate fate =
                first[0] ? FakeTableStore.Fate.ANSWER_LOST : FakeTableStore.Fate.GOOD;
            first[0] = false;
            return fate;
          };
      lab.submit(lab.instance());
      lab.time.run(1_000);
      assertEquals(lab.answers, List.of(Intake.Answer.STORED));
    }

    /** The store refuses each call. The caller is told at once, and nothing is stored later. */
    @Test
    public void rejectsSoonWhenTheStoreRefuses() {
      Lab lab = new Lab();
      lab.store.fate = change -> FakeTableStore.Fate.REFUSED;
      lab.submit(lab.instance());
      lab.time.run(400);
      assertEquals(lab.answers, List.of(Intake.Answer.REJECTED));
      lab.time.run(5_000);
      assertTrue(lab.store.table(JobTables.JOBS).isEmpty());
    }

    /**
     * A first write gets no answer and happens seconds later; all others are refused. Saying "not
     * accepted" would be false, since the job will run: the caller is told that it is not known.
     */
    @Test
    public void neverRejectsWhatMayStillBeStored() {
      Lab lab = new Lab();
      boolean[] first = {true};
      lab.store.fate =
          change -> {
            FakeTableStore.Fate fate =
                first[0] ? FakeTableStore.Fate.LATE : FakeTableStore.Fate.REFUSED;
            first[0] = false;
            return fate;
          };
      lab.submit(lab.instance());
      lab.time.run(5_000);
      assertEquals(lab.answers, List.of(Intake.Answer.UNKNOWN));
      assertEquals(lab.store.table(JobTables.JOBS).size(), 1);
    }
  }

  /** Submissions while the store is out of reach or slow, each 100 ms. */
  public static class Submitting100MillisApart {

    private static final long CALLERS_MILLIS = 3_000;

    /** What one caller got, and when. */
    private record Told(long askedMillis, long afterMillis, Intake.Answer answer) {}

    private static final class Callers {
      final Lab lab = new Lab();
      final VirtualTimers.View process = lab.time.process();
      final List<Told> told = new ArrayList<>();
      private final WatchedStore store;
      private final Intake intake;
      private int callers;
      boolean cut;

      Callers() {
        store = new WatchedStore(lab.store.seenBy(process, call -> !cut), process);
        intake =
            new JobEntry(TestJobs.INSTANCE, 120_000, store, process, null, null, null).intake();
        new TableWatcher(store, process, "op", List.of(""), row -> {}, () -> {}).start();
      }

      void run(long millis) {
        for (long at = 0; at < millis; at += 100) {
          long asked = lab.time.process().now().mono();
          callers++;
          intake.submit(
              TestJobs.job(new JobId(String.format("%016x", callers)), 2),
              OptionalLong.of(CALLERS_MILLIS),
              answer -> told.add(new Told(asked, process.now().mono() - asked, answer)));
          lab.time.run(100);
        }
      }

      List<Told> askedAfter(long millis) {
        return told.stream().filter(t -> t.askedMillis() >= millis).toList();
      }
    }

    /**
     * An instance is cut off from the store while callers go on to come. The first of them are told
     * within a second that it is not known, the later ones at once that it is not stored: all have
     * most of their time left to try elsewhere. Held until their time was up, they had none.
     */
    @Test
    public void leavesCallersTheirTimeWhileCutOff() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.cut = true;
      long cutMillis = callers.process.now().mono();
      callers.run(12_000);
      List<Told> told = callers.askedAfter(cutMillis);
      assertEquals(told.size(), 120);
      assertTrue(told.stream().allMatch(t -> t.afterMillis() <= 1_000));
      assertTrue(
          callers.askedAfter(cutMillis + 900).stream()
              .allMatch(t -> t.answer() == Intake.Answer.REJECTED && t.afterMillis() < 100));
      assertTrue(told.stream().noneMatch(t -> t.answer() == Intake.Answer.STORED));
    }

    /**
     * The process is paused for 5 s, or gets next to no processor time, and the store's answers lie
     * unread. Callers who come then are served: it is not the store that was silent.
     */
    @Test
    public void takesJobsInAfterPause() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.process.lateMillis = 5_000;
      callers.run(500);
      callers.process.lateMillis = 0;
      long resumedMillis = callers.process.now().mono();
      callers.run(2_000);
      callers.lab.time.run(10_000);
      assertTrue(
          callers.askedAfter(resumedMillis).stream()
              .allMatch(t -> t.answer() == Intake.Answer.STORED));
    }

    /** What was turned away while the instance was cut off has not been stored, then or later. */
    @Test
    public void storesNothingThatItTurnedAway() {
      Callers callers = new Callers();
      callers.cut = true;
      callers.run(3_000);
      callers.cut = false;
      callers.lab.time.run(10_000);
      assertTrue(callers.lab.store.table(JobTables.JOBS).isEmpty());
    }

    /** The cut ends: callers are served again within two waits for news. */
    @Test
    public void takesJobsInSoonAfterTheCut() {
      Callers callers = new Callers();
      callers.cut = true;
      callers.run(5_000);
      callers.cut = false;
      callers.run(4_000);
      long lastSecond = callers.process.now().mono() - 1_000;
      assertTrue(
          callers.askedAfter(lastSecond).stream()
              .allMatch(t -> t.answer() == Intake.Answer.STORED));
    }

    /**
     * The store becomes 50 times slower: a partition does two transactions a second, and each
     * caller's is done within its time if none is sent twice. Copies of calls that were only late
     * would take the turns of others, and callers of a partition with a queue would go unserved.
     */
    @Test
    public void asksSlowStoresOnce() {
      Callers callers = new Callers();
      callers.run(1_000);
      callers.lab.store.transactionMillis = 500;
      final int before = callers.lab.store.transactions;
      for (int caller = 0; caller < 20; caller++) {
        callers.run(100);
        callers.lab.time.run(400);
      }
      callers.lab.time.run(4_000);
      assertEquals(callers.told.size(), 30);
      assertTrue(callers.told.stream().allMatch(t -> t.answer() == Intake.Answer.STORED));
      assertTrue(callers.lab.store.transactions - before <= 24);
    }
  }

  /** States and cancellations. */
  public static class Asking {

    @Test
    public void deniesOnlyWhatIsNotStored() {
      Lab lab = new Lab();
      Intake intake = lab.instance();
      List<Intake.State> states = new ArrayList<>();
      intake.state(ID, states::add);
      lab.time.run(100);
      lab.submit(intake);
      lab.time.run(100);
      lab.instance().state(ID, states::add);
      lab.time.run(100);
      assertEquals(states.get(0), new Intake.State(true, Optional.empty()));
      assertEquals(states.get(1), new Intake.State(true, Optional.of(JobPhase.QUEUED)));
    }

    /**
     * A job's progress is damaged. Its caller is told at once that the state is not known, and the
     * job is not denied; without an answer the caller would wait for nothing.
     */
    @Test
    public void answersBesideProgressThatItCannotRead() {
      Lab lab = new Lab();
      VirtualTimers.View process = lab.time.process();
      Transaction change =
          new Transaction(Map.of(), Map.of(JobTables.progress(ID), Payload.of("?")), List.of());
      lab.store.seenBy(process, call -> true).commit(change, 1_000, answer -> {});
      lab.time.run(100);
      List<Intake.State> states = new ArrayList<>();
      lab.instance().state(ID, states::add);
      lab.time.run(100);
      assertEquals(states, List.of(new Intake.State(false, Optional.empty())));
    }

    /**
     * The store does not answer. An instance that denied a job then would lose it for its caller.
     */
    @Test
    public void deniesNothingWithoutTheStore() {
      Lab lab = new Lab();
      VirtualTimers.View process = lab.time.process();
      Intake cut = intake(lab.store.seenBy(process, call -> false), process);
      List<Intake.State> states = new ArrayList<>();
      cut.state(ID, states::add);
      lab.time.run(5_000);
      assertEquals(states, List.of(new Intake.State(false, Optional.empty())));
    }

    /** Guards against a cancellation that is acknowledged for nothing. */
    @Test
    public void cancelsOnlyWhatIsThere() {
      Lab lab = new Lab();
      Intake intake = lab.instance();
      intake.cancel(new JobId("never"), OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      lab.submit(intake);
      lab.time.run(100);
      intake.cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      assertEquals(
          lab.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.STORED, Intake.Answer.STORED));
      assertEquals(lab.store.table(JobTables.CANCELS), Map.of("never", "0", ID.value(), "1"));
    }

    /** Guards against a job that is stored and runs although its caller was told that it is not. */
    @Test
    public void refusesWhatWasCancelledBeforeItCame() {
      Lab lab = new Lab();
      Intake intake = lab.instance();
      intake.cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      lab.submit(lab.instance());
      lab.time.run(100);
      assertEquals(lab.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.CANCELLED));
      assertTrue(lab.store.table(JobTables.JOBS).isEmpty());
      assertTrue(lab.store.table(JobTables.WAITING).isEmpty());
      List<Intake.State> states = new ArrayList<>();
      intake.state(ID, states::add);
      lab.time.run(100);
      assertEquals(states, List.of(new Intake.State(true, Optional.empty())));
    }

    /** Guards against a refusal of a job that was accepted before it was cancelled. */
    @Test
    public void tellsLateCopiesOfCancelledJobsThatTheyAreStored() {
      Lab lab = new Lab();
      lab.submit(lab.instance());
      lab.time.run(100);
      lab.instance().cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      lab.submit(lab.instance());
      lab.time.run(100);
      assertEquals(
          lab.answers, List.of(Intake.Answer.STORED, Intake.Answer.STORED, Intake.Answer.STORED));
    }

    /** Guards against a late copy of a cancellation that writes a row which nobody removes. */
    @Test
    public void leavesNoCancellationOfJobsThatWereRemoved() {
      Lab lab = new Lab();
      lab.submit(lab.instance());
      lab.time.run(100);
      lab.store.fate =
          change ->
              change.writes().containsKey(JobTables.cancel(ID))
                  ? FakeTableStore.Fate.LATE
                  : FakeTableStore.Fate.GOOD;
      lab.instance().cancel(ID, OptionalLong.of(500), lab.answers::add);
      lab.time.run(1_000);
      VirtualTimers.View process = lab.time.process();
      Transaction removal = new Transaction(Map.of(), Map.of(), List.of(JobTables.job(ID)));
      lab.store.seenBy(process, call -> true).commit(removal, 1_000, answer -> {});
      lab.time.run(10_000);
      assertEquals(lab.answers.get(1), Intake.Answer.UNKNOWN);
      assertTrue(lab.store.table(JobTables.CANCELS).isEmpty());
    }

    /** Guards against calls to the store that a cancellation does not need: each has its price. */
    @Test
    public void cancelsWithOneReadAndOneTransaction() {
      Lab lab = new Lab();
      List<String> calls = new ArrayList<>();
      VirtualTimers.View process = lab.time.process();
      Intake intake = intake(lab.store.seenBy(process, calls::add), process);
      List<String> expected = List.of("scan " + JobTables.JOBS, "commit");
      intake.cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(1_000);
      assertEquals(calls, expected);
      JobId stored = new JobId("stored");
      lab.instance().submit(TestJobs.job(stored, 1), OptionalLong.empty(), answer -> {});
      lab.time.run(100);
      calls.clear();
      intake.cancel(stored, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(1_000);
      assertEquals(calls, expected);
      assertEquals(lab.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.STORED));
    }
  }
}
