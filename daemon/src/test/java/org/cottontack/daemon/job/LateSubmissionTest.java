package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;
import org.testng.annotations.Test;

/**
 * Tests of cancellations that the store carries out before the submission of their job. The answers
 * to both callers must be true in whichever order the store carries out the calls.
 */
public class LateSubmissionTest {

  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  private static final Set<Intake.Answer> ACKNOWLEDGED =
      Set.of(Intake.Answer.STORED, Intake.Answer.ABSENT);

  /** The callers of one job, at several instances. */
  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View callers = time.process();
    final List<Intake.Answer> submitted = new ArrayList<>();
    final List<Intake.Answer> cancelled = new ArrayList<>();

    private Intake instance() {
      VirtualTimers.View process = time.process();
      WatchedStore watched = new WatchedStore(store.seenBy(process, call -> true), process);
      return new JobEntry(TestJobs.INSTANCE, 120_000, watched, process, null, null, null).intake();
    }

    void submitAfter(long millis) {
      Intake intake = instance();
      callers.after(
          millis, () -> intake.submit(TestJobs.job(ID, 2), OptionalLong.of(2_950), submitted::add));
    }

    /** Cancels the job, and again at another instance until the cancellation is acknowledged. */
    void cancelAfter(long millis) {
      Intake intake = instance();
      callers.after(millis, () -> intake.cancel(ID, OptionalLong.of(2_950), this::answered));
    }

    private void answered(Intake.Answer answer) {
      cancelled.add(answer);
      if (!ACKNOWLEDGED.contains(answer) && cancelled.size() < 10) {
        cancelAfter(500);
      }
    }

    /** Returns the contradiction between the answers and the stored rows, if there is one. */
    Optional<String> fault() {
      boolean stored = store.table(JobTables.JOBS).containsKey(ID.value());
      boolean notCancelled = stored && !"1".equals(store.table(JobTables.CANCELS).get(ID.value()));
      String answers = "submitted %s, cancelled %s".formatted(submitted, cancelled);
      if (notCancelled && cancelled.stream().anyMatch(ACKNOWLEDGED::contains)) {
        return Optional.of("cancelled and open: " + answers);
      }
      if (!stored && submitted.contains(Intake.Answer.STORED)) {
        return Optional.of("accepted and not stored: " + answers);
      }
      boolean possiblyAccepted =
          submitted.contains(Intake.Answer.STORED) || submitted.contains(Intake.Answer.UNKNOWN);
      return stored && !possiblyAccepted
          ? Optional.of("rejected and stored: " + answers)
          : Optional.empty();
    }
  }

  private static void assertConsistentInAll(int cases, BiConsumer<Simulation, Integer> scenario) {
    List<String> faults =
        IntStream.range(0, cases).mapToObj(number -> faultOf(scenario, number)).toList();
    List<String> found = faults.stream().filter(fault -> !fault.isEmpty()).toList();
    String examples = String.join("; ", found.subList(0, Math.min(3, found.size())));
    assertEquals(found.size(), 0, "%d of %d: %s".formatted(found.size(), cases, examples));
  }

  private static String faultOf(BiConsumer<Simulation, Integer> scenario, int number) {
    Simulation simulation = new Simulation();
    scenario.accept(simulation, number);
    simulation.time.run(60_000);
    return simulation.fault().map(fault -> number + " " + fault).orElse("");
  }

  /** Calls that the store carries out late, loses or refuses. */
  public static class CarriedOutLate {

    /**
     * Guards against a job that runs although its caller received the answer that it is cancelled
     * or does not exist.
     */
    @Test
    public void leavesNoActiveJobAfterAnAcknowledgedCancellation() {
      assertConsistentInAll(1_000, CarriedOutLate::randomOrder);
    }

    private static void randomOrder(Simulation simulation, int seed) {
      Random random = new Random(seed);
      simulation.store.commitBehaviour =
          change -> {
            simulation.store.lateMillis = 50L + random.nextInt(10_000);
            List<FakeTableStore.CommitBehaviour> behaviours = FakeTableStore.TRANSIENT;
            return behaviours.get(random.nextInt(behaviours.size()));
          };
      simulation.submitAfter(0);
      if (random.nextBoolean()) {
        simulation.submitAfter(random.nextInt(8_000));
      }
      simulation.cancelAfter(random.nextInt(6_000));
    }
  }

  /** A submission and a cancellation at two instances at about the same time. */
  public static class Concurrent {

    /** Guards against a cancellation that reads the job's row just before the job is stored. */
    @Test
    public void leavesNoActiveJobWhicheverComesFirst() {
      assertConsistentInAll(
          100,
          (simulation, number) -> {
            simulation.submitAfter(50);
            simulation.cancelAfter(number);
          });
    }
  }
}
