package org.cottontack.daemon.job;

import static org.cottontack.daemon.job.LeaderSimulation.job;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.peer.Payload;
import org.cottontack.wire.JobCodec;
import org.testng.annotations.Test;

/** Tests which tasks a leader starts for cancelled jobs, and which rows remain in the store. */
public class CancelledJobsTest {

  /** Starts of tasks of cancelled jobs. */
  public static class Cancelling {

    /**
     * Longest allowed time from the acknowledgement of a cancellation to the last start, in
     * milliseconds.
     */
    private static final long CANCEL_MILLIS = 3_000;

    /**
     * Guards against tasks of a job whose submission the store carries out late, after the job's
     * cancellation was acknowledged.
     */
    @Test
    public void startsNoTasksOfJobsStoredAfterTheirCancellation() {
      List<Long> started =
          LongStream.iterate(200, late -> late <= 10_000, late -> late + 200)
              .filter(Cancelling::startsLate)
              .boxed()
              .toList();
      assertEquals(started, List.of(), started.size() + " of 50 delays");
    }

    /**
     * Guards against a leader that reads a cancellation before its job and drops it because there
     * are cancellations of 20,000 ended jobs.
     */
    @Test
    public void startsNoTasksOfJobsReadAfterTheirCancellation() {
      LeaderSimulation simulation = new LeaderSimulation();
      Map<RowKey, Payload> rows = new HashMap<>();
      for (int i = 0; i < 20_000; i++) {
        JobId ended = new JobId("ended" + i);
        rows.put(JobTables.cancel(ended), Payload.of("1"));
        rows.put(JobTables.progress(ended), Payload.of("x"));
      }
      List<JobId> cancelledFirst =
          IntStream.range(0, 40).mapToObj(i -> new JobId("job" + i)).toList();
      cancelledFirst.forEach(id -> rows.put(JobTables.cancel(id), Payload.of("1")));
      simulation.write(rows);
      simulation.restart();
      simulation.time.run(10_000);
      assertEquals(simulation.entry.leadingEpoch(), 2);
      simulation.write(
          cancelledFirst.stream()
              .collect(
                  Collectors.toMap(
                      JobTables::job, id -> Payload.of(JobCodec.write(TestJobs.job(id, 1))))));
      simulation.time.run(5_000);
      assertEquals(simulation.starts.size(), 0, "of 40 jobs");
    }

    /**
     * Guards against tasks of a job that an instance of an earlier version stores although there is
     * a cancellation.
     */
    @Test
    public void endsJobsStoredDespiteTheirCancellation() {
      List<String> faults =
          LongStream.iterate(50, late -> late <= 10_000, late -> late + 200)
              .boxed()
              .flatMap(
                  late ->
                      Stream.of(Takeover.values())
                          .map(when -> faultDespiteCancellation(late, when)))
              .filter(fault -> !fault.isEmpty())
              .toList();
      assertEquals(faults, List.of(), faults.size() + " of 200 cases");
    }

    /** The time at which the leader changes. */
    private enum Takeover {
      NEVER,
      BEFORE_JOB,
      RIGHT_AFTER_JOB,
      LATER
    }

    private static String faultDespiteCancellation(long lateMillis, Takeover when) {
      LeaderSimulation simulation = new LeaderSimulation();
      List<Long> acknowledged = new ArrayList<>();
      simulation
          .entry
          .intake()
          .cancel(
              new JobId("a"),
              OptionalLong.empty(),
              answer -> acknowledged.add(simulation.process.now().mono()));
      simulation.time.run(lateMillis);
      if (when == Takeover.BEFORE_JOB) {
        simulation.restart();
      }
      simulation.write(submission("a"));
      if (when == Takeover.RIGHT_AFTER_JOB) {
        simulation.restart();
      }
      simulation.time.run(5_000);
      if (when == Takeover.LATER) {
        simulation.restart();
      }
      simulation.time.run(10_000);
      long lastStartMillis = acknowledged.get(0) + CANCEL_MILLIS;
      long late = simulation.startMillis.stream().filter(at -> at > lastStartMillis).count();
      return late == 0 && simulation.running.isEmpty()
          ? ""
          : "%d ms, %s: %d late starts, running %s"
              .formatted(lateMillis, when, late, simulation.running.keySet());
    }

    /**
     * Returns the rows that a submission writes. An earlier version does not check for a
     * cancellation's row.
     */
    private static Map<RowKey, Payload> submission(String id) {
      return Map.of(
          JobTables.job(new JobId(id)),
          Payload.of(JobCodec.write(job(id))),
          JobTables.waiting(new JobId(id)),
          Payload.of(TestJobs.QUEUE.name()));
    }

    /**
     * Guards against tasks of a job when the leader reads the job first, and only then a
     * cancellation that was written before the job.
     */
    @Test
    public void endsJobsReadBeforeTheirCancellation() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.submit("a");
      simulation.time.run(1_000);
      assertEquals(simulation.running.size(), 1);
      simulation.write(JobTables.cancel(new JobId("a")), "0");
      simulation.time.run(3_000);
      assertTrue(simulation.running.isEmpty());
    }

    /**
     * Guards against a leader that drops cancellations that were stored before their jobs, because
     * there are many later cancellations of unknown jobs.
     */
    @Test
    public void keepsCancellationsAmongManyWithoutJobs() {
      LeaderSimulation simulation = new LeaderSimulation();
      List<String> cancelledFirst = IntStream.range(0, 40).mapToObj(i -> "job" + i).toList();
      Map<RowKey, Payload> early = new HashMap<>();
      cancelledFirst.forEach(id -> early.put(JobTables.cancel(new JobId(id)), Payload.of("1")));
      simulation.write(early);
      Map<RowKey, Payload> others = new HashMap<>();
      IntStream.range(0, 20_000)
          .forEach(i -> others.put(JobTables.cancel(new JobId("none" + i)), Payload.of("0")));
      simulation.write(others);
      cancelledFirst.forEach(id -> simulation.write(submission(id)));
      simulation.time.run(5_000);
      assertEquals(simulation.starts.size(), 0, "of 40 jobs");
    }

    /**
     * Guards against a leader that ends a job which was submitted after the row of its cancellation
     * was removed.
     */
    @Test
    public void runsJobsWhoseCancellationWasRemoved() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.entry.intake().cancel(new JobId("a"), OptionalLong.empty(), result -> {});
      simulation.entry.intake().cancel(new JobId("b"), OptionalLong.empty(), result -> {});
      simulation.time.run(1_000);
      Transaction removal =
          new Transaction(Map.of(), Map.of(), List.of(JobTables.cancel(new JobId("a"))));
      simulation
          .store
          .seenBy(simulation.process, call -> true)
          .commit(removal, 1_000, result -> {});
      simulation.time.run(500);
      simulation.submit("a");
      simulation.time.run(500);
      assertEquals(simulation.running.size(), 1);
      simulation.time.run(130_000);
      simulation.submit("b");
      simulation.time.run(500);
      assertEquals(simulation.running.size(), 2);
    }

    /**
     * Guards against a job that starts again because its cancellation's row was removed before the
     * job's row.
     */
    @Test
    public void keepsCancellationsUntilTheirJobIsRemoved() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.write(JobTables.cancel(new JobId("a")), "0");
      simulation.time.run(115_000);
      simulation.write(submission("a"));
      simulation.time.run(20_000);
      assertEquals(simulation.store.table(JobTables.CANCELS).keySet(), Set.of("a"));
      assertEquals(simulation.store.table(JobTables.JOBS).keySet(), Set.of("a"));
      simulation.time.run(110_000);
      assertEquals(simulation.store.table(JobTables.CANCELS), Map.of());
      assertEquals(simulation.store.table(JobTables.JOBS), Map.of());
      assertEquals(simulation.starts.size(), 0);
    }

    /**
     * Guards against rows of cancellations without a job that are never removed after a change of
     * the leader.
     */
    @Test
    public void removesCancellationsWithoutJobs() {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.entry.intake().cancel(new JobId("a"), OptionalLong.empty(), answer -> {});
      simulation.time.run(1_000);
      simulation.restart();
      simulation.time.run(10_000);
      simulation.entry.intake().cancel(new JobId("b"), OptionalLong.empty(), answer -> {});
      simulation.time.run(60_000);
      assertEquals(simulation.store.table(JobTables.CANCELS).keySet(), Set.of("a", "b"));
      simulation.time.run(80_000);
      assertEquals(simulation.store.table(JobTables.CANCELS), Map.of());
    }

    private static boolean startsLate(long lateMillis) {
      LeaderSimulation simulation = new LeaderSimulation();
      RowKey row = JobTables.job(new JobId("a"));
      simulation.store.lateMillis = lateMillis;
      simulation.store.commitBehaviour =
          change ->
              change.writes().containsKey(row)
                  ? FakeTableStore.CommitBehaviour.LATE
                  : FakeTableStore.CommitBehaviour.GOOD;
      simulation.submit("a");
      simulation.time.run(100);
      List<Long> acknowledged = new ArrayList<>();
      simulation
          .entry
          .intake()
          .cancel(
              new JobId("a"),
              OptionalLong.empty(),
              answer -> acknowledged.add(simulation.process.now().mono()));
      simulation.time.run(20_000);
      long lastStartMillis = acknowledged.get(0) + CANCEL_MILLIS;
      return simulation.startMillis.stream().anyMatch(at -> at > lastStartMillis)
          || !simulation.running.isEmpty();
    }
  }

  /**
   * Jobs that are submitted and cancelled in any order while store calls are late or lost, and the
   * rows that remain.
   */
  public static class CancellingDuringStoreFaults {

    private static final int SEEDS = 10;
    private static final int JOBS = 20;

    /**
     * Guards against tasks that start after an acknowledged cancellation, and against rows that are
     * never removed.
     */
    @Test
    public void stopsTasksAndLeavesNoRows() {
      List<String> faults =
          IntStream.range(0, SEEDS)
              .mapToObj(seed -> new Scenario(seed).faults())
              .filter(found -> !found.isEmpty())
              .toList();
      assertEquals(faults, List.of(), "seeds of " + SEEDS);
    }

    /** The callers of some jobs; each caller repeats its cancellation until it is acknowledged. */
    private static final class Scenario {
      private static final long MAX_DELAY_MILLIS = 20_000;

      private final LeaderSimulation simulation = new LeaderSimulation();
      private final Random random;
      private final VirtualTimers.View callers = simulation.time.process();
      private final Map<JobId, Long> acknowledged = new HashMap<>();

      Scenario(int seed) {
        random = new Random(seed);
        simulation.store.commitBehaviour = this::chooseBehaviour;
        IntStream.range(0, JOBS).mapToObj(i -> "job" + i).forEach(this::plan);
      }

      private FakeTableStore.CommitBehaviour chooseBehaviour(Transaction change) {
        simulation.store.lateMillis = 50L + random.nextInt(10_000);
        boolean leading =
            change.writes().keySet().stream().anyMatch(row -> !row.part().startsWith("intake"));
        List<FakeTableStore.CommitBehaviour> behaviours = FakeTableStore.TRANSIENT;
        return leading || random.nextBoolean()
            ? FakeTableStore.CommitBehaviour.GOOD
            : behaviours.get(random.nextInt(behaviours.size()));
      }

      private void plan(String id) {
        callers.after(random.nextInt(5_000), () -> simulation.submit(id));
        if (random.nextBoolean()) {
          callers.after(random.nextInt((int) MAX_DELAY_MILLIS), () -> simulation.submit(id));
        }
        callers.after(random.nextInt((int) MAX_DELAY_MILLIS), () -> cancel(new JobId(id)));
      }

      private void cancel(JobId id) {
        simulation.entry.intake().cancel(id, OptionalLong.empty(), answer -> answered(id, answer));
      }

      private void answered(JobId id, Intake.Answer answer) {
        if (answer == Intake.Answer.STORED || answer == Intake.Answer.ABSENT) {
          acknowledged.putIfAbsent(id, callers.now().mono());
        } else {
          callers.after(500, () -> cancel(id));
        }
      }

      String faults() {
        simulation.time.run(10 * MAX_DELAY_MILLIS);
        long late =
            IntStream.range(0, simulation.starts.size())
                .filter(
                    i ->
                        simulation.startMillis.get(i)
                            > acknowledged.get(simulation.starts.get(i).task().job())
                                + Cancelling.CANCEL_MILLIS)
                .count();
        List<String> rows =
            Stream.of(JobTables.JOBS, JobTables.CANCELS, JobTables.WAITING)
                .filter(table -> !simulation.store.table(table).isEmpty())
                .toList();
        return acknowledged.size() == JOBS
                && late == 0
                && simulation.running.isEmpty()
                && rows.isEmpty()
            ? ""
            : "acknowledged %d, late starts %d, running %s, rows in %s"
                .formatted(acknowledged.size(), late, simulation.running.keySet(), rows);
      }
    }
  }
}
