package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.admission.AdmissionText;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;
import org.cottontack.core.peer.Payload;
import org.cottontack.daemon.job.ElectionSimulation.Candidate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the rejection of jobs under limits that a leader publishes. */
public class AdmissionTest {

  private static final LoadControl ON = new LoadControl(Set.of(LoadPart.ADMISSION), 900, 100);
  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  /** A job of one task declares 500 x 900; the limit covers exactly that. */
  private static final AdmissionLimits LIMITS =
      new AdmissionLimits(List.of(new AdmissionLimits.Limit("queue", 450_000, 450_001, 9_000, 1)));

  private static Instance instance(String name, LoadControl control) {
    return new Instance(name, "dc", ElectionSimulation.SMALL, control);
  }

  /** A leader, and an instance that watches it and receives submissions. */
  private static final class Simulation {
    final ElectionSimulation election = new ElectionSimulation();
    final Candidate leader;
    final Candidate watcher;
    final List<Intake.Answer> answers = new ArrayList<>();

    Simulation(LoadControl control) {
      leader = election.candidate(instance("a", control), 1);
      election.time.run(1_000);
      watcher = election.candidate(instance("b", control), 1);
      election.time.run(1_000);
    }

    Simulation limit(AdmissionLimits limits) {
      leader.limits = limits;
      election.time.run(1_500);
      return this;
    }

    Simulation submit(Candidate candidate, JobSpec job) {
      TableStore seen = election.store.seenBy(candidate.timers, call -> candidate.reachesStore);
      WatchedStore store = new WatchedStore(seen, candidate.timers);
      Instance instance = TestJobs.INSTANCE;
      JobMetrics metrics =
          new JobEntry(instance, 120_000, store, candidate.timers, null, null, null).metrics();
      new Intake(store, candidate.timers, metrics, candidate.leadership.admissionGate())
          .submit(job, OptionalLong.empty(), answers::add);
      return this;
    }

    void submit(JobSpec job, Intake.Answer... expected) {
      submit(watcher, job);
      election.time.run(500);
      assertEquals(answers, List.of(expected));
    }

    boolean rejects(Candidate candidate) {
      return candidate.leadership.admissionGate().rejection(TestJobs.job(ID, 1)).isPresent();
    }

    Optional<AdmissionText> row() {
      return Optional.ofNullable(election.store.table(JobTables.LEADER).get("admission"))
          .flatMap(AdmissionText::parse);
    }

    /** Checks that the limits count now, and that none counts later than the greatest age. */
    void checkRejectsNothingLater(Candidate candidate) {
      assertTrue(rejects(candidate));
      election.time.run(AdmissionGate.MAX_AGE_MILLIS);
      for (int i = 0; i < 100; i++) {
        election.time.run(50);
        assertFalse(rejects(candidate), "rejects at " + election.time.now());
      }
    }
  }

  /** Submissions while the limits are known. */
  public static class Limited {

    /** A rejected job that is stored all the same would run although its caller returns later. */
    @Test
    public void rejectsWithoutStoring() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.OVERLOADED);
      simulation.election.time.run(5_000);
      assertTrue(simulation.election.store.table(JobTables.JOBS).isEmpty());
      assertTrue(simulation.election.store.table(JobTables.WAITING).isEmpty());
    }

    /** A caller that missed the first response must not be told that its job never runs. */
    @Test
    public void reportsStoredJobAsStored() {
      Simulation simulation = new Simulation(ON);
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED);
      simulation.limit(LIMITS);
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED, Intake.Answer.STORED);
    }

    /** The scheduled job declares the same work; the other one declares twice as much. */
    @Test
    public void acceptsScheduledJobsAndOtherSizes() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      JobSpec job = TestJobs.job(ID, 1);
      JobSpec.Schedule schedule = new JobSpec.Schedule(1, 1, 1);
      simulation.submit(
          new JobSpec(ID, job.queue(), job.payload(), job.steps(), schedule), Intake.Answer.STORED);
      simulation.submit(
          TestJobs.job(new JobId("6c0e7a21d94b36f8"), 2),
          Intake.Answer.STORED,
          Intake.Answer.STORED);
    }

    /** An instance accepts jobs through its own view of the rows, beside a leader elsewhere. */
    @Test
    public void appliesToInstances() {
      InstancesSimulation simulation = new InstancesSimulation(List.of());
      Candidate leader = new Candidate(simulation.time, simulation.store, instance("a", ON), 1);
      leader.limits = LIMITS;
      simulation.run(1_000);
      simulation.loadControl = ON;
      InstancesSimulation.Entry entry = simulation.entry("b", "dc", ElectionSimulation.SMALL);
      simulation.run(2_000);
      List<Long> retries = new ArrayList<>();
      Intake.Caller caller =
          new Intake.Caller() {
            @Override
            public void answered(Intake.Answer answer) {
              throw new AssertionError(answer);
            }

            @Override
            public void overloaded(long retryAfterMillis) {
              retries.add(retryAfterMillis);
            }
          };
      entry.jobs.intake().submit(TestJobs.job(ID, 1), OptionalLong.empty(), caller);
      simulation.run(500);
      assertEquals(retries, List.of(1L));
      assertTrue(entry.jobs.metrics().text().contains("admission_refused_queue_total 1"));
    }
  }

  /** Limits that must not count any more. */
  public static class Outdated {

    @Test
    public void rejectNothingOnceTheLeaderIsLost() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.leader.timers.killed = true;
      Candidate late = simulation.election.candidate(instance("c", ON), 1);
      simulation.election.time.run(100);
      assertFalse(simulation.rejects(late), "a process that began after the loss");
      simulation.checkRejectsNothingLater(simulation.watcher);
    }

    /** The responses to the watch are lost, while the instance still stores jobs. */
    @Test
    public void rejectNothingWhileTheWatchHangs() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.election.store.extraLatencyMillis =
          call -> call.equals("follow leader") ? 100_000 : 0;
      simulation.checkRejectsNothingLater(simulation.watcher);
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED);
    }

    /** Without the row of the job nobody knows that it will not run. */
    @Test
    public void rejectNothingWhileTheStoreIsUnavailable() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.watcher.reachesStore = false;
      simulation.submit(simulation.watcher, TestJobs.job(ID, 1));
      simulation.election.time.run(4_000);
      assertEquals(simulation.answers, List.of(Intake.Answer.UNKNOWN));
    }

    @Test
    public void rejectNothingOnLeaderWithoutStore() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.leader.reachesStore = false;
      simulation.checkRejectsNothingLater(simulation.leader);
    }

    /** The next leader is of a version without limits, which leaves the old row as it is. */
    @Test
    public void rejectNothingUnderAnotherLeader() {
      Simulation simulation = new Simulation(ON).limit(LIMITS);
      simulation.leader.timers.killed = true;
      final Candidate next = simulation.election.candidate(instance("a", LoadControl.OFF), 2);
      simulation.election.time.run(3_000);
      assertEquals(next.events, List.of("won 2"));
      assertEquals(simulation.row(), Optional.of(new AdmissionText(1, LIMITS)));
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED);
    }
  }

  /** The order in which an instance reads the rows. */
  public static class Reading {

    /** A gate and the time at which it reads. */
    private static final class Reader {
      private final VirtualTimers time = new VirtualTimers();
      private final Timers clock = time.process();
      private final AdmissionGate gate = new AdmissionGate(clock, true);

      /**
       * Reads renewals, each by the time since the previous one, its number, the version of its row
       * and, unless it is 1, the time that it states, beside one limits row.
       */
      private boolean rejectsAfter(long limitsVersion, long[]... renewals) {
        for (long[] renewal : renewals) {
          time.run(renewal[0]);
          long sent = renewal.length > 3 ? renewal[3] : 1;
          String lease = "a/1 " + renewal[1] + " 8500 " + sent;
          String limits = new AdmissionText(1, LIMITS).text();
          gate.observed(
              clock.now(),
              1,
              row("lease", lease, renewal[2]),
              row("admission", limits, limitsVersion));
        }
        return gate.rejection(TestJobs.job(ID, 1)).isPresent();
      }

      private static Optional<Row> row(String key, String text, long version) {
        RowKey at = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, key);
        return Optional.of(new Row(at, Payload.of(text), version, false));
      }
    }

    /** A renewal that is carried out after later ones does not show that the leader still leads. */
    @Test
    public void duplicateOfOldRenewalConfirmsNothing() {
      Reader reader = new Reader();
      assertTrue(reader.rejectsAfter(5, new long[] {0, 1, 4}, new long[] {500, 2, 5}));
      assertFalse(reader.rejectsAfter(5, new long[] {1_400, 2, 5}, new long[] {200, 1, 6}));
    }

    /** The renewal may have been stored at any time since the response before. */
    @Test
    public void renewalReadAfterGapConfirmsNothing() {
      Reader reader = new Reader();
      assertFalse(reader.rejectsAfter(5, new long[] {0, 1, 4}, new long[] {2_100, 2, 5}));
      assertTrue(reader.rejectsAfter(5, new long[] {500, 3, 6}));
    }

    /** A renewal without a time writes no limits, so limits may have been lifted since. */
    @Test
    public void renewalWithoutTimeConfirmsNothing() {
      Reader reader = new Reader();
      assertTrue(reader.rejectsAfter(5, new long[] {0, 1, 4}, new long[] {500, 2, 5}));
      assertTrue(reader.rejectsAfter(5, new long[] {500, 3, 6, 0}));
      assertFalse(reader.rejectsAfter(5, new long[] {500, 4, 7, 0}, new long[] {600, 5, 8, 0}));
    }

    /** Limits that arrive before their renewal are as old as the renewal before them. */
    @Test
    public void limitsWithoutTheirRenewalDoNotCount() {
      Reader reader = new Reader();
      assertFalse(reader.rejectsAfter(6, new long[] {0, 1, 4}, new long[] {500, 2, 5}));
      assertTrue(reader.rejectsAfter(6, new long[] {100, 3, 6}));
    }
  }

  /** What the leader writes. */
  public static class Published {

    @Test
    public void limitsAreLiftedAndNothingIsWrittenBefore() {
      Simulation simulation = new Simulation(ON);
      assertEquals(simulation.row(), Optional.empty());
      simulation.limit(LIMITS).limit(AdmissionLimits.NONE);
      assertEquals(simulation.row(), Optional.of(new AdmissionText(1, AdmissionLimits.NONE)));
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED);
    }

    /** Whether an unanswered renewal precedes the one that writes the limits. */
    @DataProvider
    public static Object[][] answerLostBefore() {
      return new Object[][] {{false}, {true}};
    }

    /** The renewal that writes the limits is carried out after they have been lifted. */
    @Test(dataProvider = "answerLostBefore")
    public void lateRenewalRestoresNoLimits(boolean answerLostBefore) {
      Simulation simulation = new Simulation(ON);
      if (answerLostBefore) {
        simulation.election.store.commitBehaviour =
            transaction -> FakeTableStore.CommitBehaviour.ANSWER_LOST;
        simulation.election.time.run(500);
      }
      boolean[] first = {true};
      simulation.election.store.commitBehaviour =
          transaction -> {
            boolean late = first[0] && transaction.writes().containsKey(AdmissionRow.KEY);
            first[0] &= !late;
            return late ? FakeTableStore.CommitBehaviour.LATE : FakeTableStore.CommitBehaviour.GOOD;
          };
      simulation.limit(LIMITS);
      simulation.leader.limits = AdmissionLimits.NONE;
      simulation.election.time.run(6_000);
      assertFalse(first[0]);
      assertEquals(simulation.row().map(AdmissionText::limits), Optional.of(AdmissionLimits.NONE));
    }

    /** With the part off, deployments must see neither the row nor reads before submissions. */
    @Test
    public void nothingIsWrittenOrReadWithThePartOff() {
      Simulation simulation = new Simulation(LoadControl.OFF).limit(LIMITS);
      List<String> reads = new ArrayList<>();
      simulation.election.store.extraLatencyMillis =
          call -> {
            reads.add(call);
            return 0;
          };
      simulation.submit(TestJobs.job(ID, 1), Intake.Answer.STORED);
      assertFalse(reads.contains("scan jobs"), reads.toString());
      assertEquals(simulation.row(), Optional.empty());
    }
  }
}
