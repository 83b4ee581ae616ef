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
    return new JobEntry(TestJobs.INSTANCE, 120_000, store, timers, null, null, null).intake();
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
      Change change =
          new Change(Map.of(), Map.of(JobTables.progress(ID), Payload.of("?")), List.of());
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

    @Test
    public void cancelsOnlyWhatIsThere() {
      Lab lab = new Lab();
      Intake intake = lab.instance();
      intake.cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      lab.submit(intake);
      lab.time.run(100);
      intake.cancel(ID, OptionalLong.of(3_000), lab.answers::add);
      lab.time.run(100);
      assertEquals(
          lab.answers, List.of(Intake.Answer.ABSENT, Intake.Answer.STORED, Intake.Answer.STORED));
      assertEquals(lab.store.table(JobTables.CANCELS).size(), 1);
    }
  }
}
