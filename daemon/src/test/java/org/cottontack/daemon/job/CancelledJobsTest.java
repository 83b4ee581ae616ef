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

/** Tests of what a leader starts of jobs that are cancelled, and of the rows that are left. */
public class CancelledJobsTest {

  /** What a leader starts of jobs that are cancelled. */
  public static class Cancelling {

    /** Longest time from an acknowledged cancellation to the last start, in milliseconds. */
    private static final long CANCEL_MILLIS = 3_000;

    /** Guards against work of a job that is stored after its cancellation was acknowledged. */
    @Test
    public void startsNothingOfJobsThatAreStoredLate() {
      List<Long> started =
          LongStream.iterate(200, late -> late <= 10_000, late -> late + 200)
              .filter(Cancelling::startsLate)
              .boxed()
              .toList();
      assertEquals(started, List.of(), started.size() + " of 50 delays");
    }

    /** Guards against a cancellation that is told before its job and forgotten beside old ones. */
    @Test
    public void startsNothingOfJobsThatCancellationsOvertook() {
      LeaderSimulation lab = new LeaderSimulation();
      Map<RowKey, Payload> rows = new HashMap<>();
      for (int i = 0; i < 20_000; i++) {
        JobId ended = new JobId("ended" + i);
        rows.put(JobTables.cancel(ended), Payload.of("1"));
        rows.put(JobTables.progress(ended), Payload.of("x"));
      }
      List<JobId> overtaken = IntStream.range(0, 40).mapToObj(i -> new JobId("job" + i)).toList();
      overtaken.forEach(id -> rows.put(JobTables.cancel(id), Payload.of("1")));
      lab.write(rows);
      lab.restart();
      lab.time.run(10_000);
      assertEquals(lab.entry.leadingEpoch(), 2);
      lab.write(
          overtaken.stream()
              .collect(
                  Collectors.toMap(
                      JobTables::job, id -> Payload.of(JobCodec.write(TestJobs.job(id, 1))))));
      lab.time.run(5_000);
      assertEquals(lab.starts.size(), 0, "of 40 jobs");
    }

    /** Guards against work of a job that an earlier version stores beside its cancellation. */
    @Test
    public void endsJobsThatAreStoredBesideTheirCancellation() {
      List<String> faults =
          LongStream.iterate(50, late -> late <= 10_000, late -> late + 200)
              .boxed()
              .flatMap(late -> Stream.of(Takeover.values()).map(when -> faultBeside(late, when)))
              .filter(fault -> !fault.isEmpty())
              .toList();
      assertEquals(faults, List.of(), faults.size() + " of 200 cases");
    }

    /** When the leader changes. */
    private enum Takeover {
      NEVER,
      BEFORE_JOB,
      RIGHT_AFTER_JOB,
      LATER
    }

    private static String faultBeside(long lateMillis, Takeover when) {
      LeaderSimulation lab = new LeaderSimulation();
      List<Long> acknowledged = new ArrayList<>();
      lab.entry
          .intake()
          .cancel(
              new JobId("a"),
              OptionalLong.empty(),
              answer -> acknowledged.add(lab.process.now().mono()));
      lab.time.run(lateMillis);
      if (when == Takeover.BEFORE_JOB) {
        lab.restart();
      }
      lab.write(submission("a"));
      if (when == Takeover.RIGHT_AFTER_JOB) {
        lab.restart();
      }
      lab.time.run(5_000);
      if (when == Takeover.LATER) {
        lab.restart();
      }
      lab.time.run(10_000);
      long latest = acknowledged.get(0) + CANCEL_MILLIS;
      long late = lab.startMillis.stream().filter(at -> at > latest).count();
      return late == 0 && lab.running.isEmpty()
          ? ""
          : "%d ms, %s: %d late starts, running %s"
              .formatted(lateMillis, when, late, lab.running.keySet());
    }

    /** Returns what a submission writes; the earlier version ignores rows of cancellations. */
    private static Map<RowKey, Payload> submission(String id) {
      return Map.of(
          JobTables.job(new JobId(id)),
          Payload.of(JobCodec.write(job(id))),
          JobTables.waiting(new JobId(id)),
          Payload.of(TestJobs.QUEUE.name()));
    }

    /** Guards against work of a job whose cancellation without it is news after the job is. */
    @Test
    public void endsJobsThatAreKnownBeforeTheirCancellation() {
      LeaderSimulation lab = new LeaderSimulation();
      lab.submit("a");
      lab.time.run(1_000);
      assertEquals(lab.running.size(), 1);
      lab.write(JobTables.cancel(new JobId("a")), "0");
      lab.time.run(3_000);
      assertTrue(lab.running.isEmpty());
    }

    /** Guards against cancellations of any identifiers that drive out those that overtook jobs. */
    @Test
    public void keepsCancellationsBesideManyOfNoJob() {
      LeaderSimulation lab = new LeaderSimulation();
      List<String> overtaken = IntStream.range(0, 40).mapToObj(i -> "job" + i).toList();
      Map<RowKey, Payload> early = new HashMap<>();
      overtaken.forEach(id -> early.put(JobTables.cancel(new JobId(id)), Payload.of("1")));
      lab.write(early);
      Map<RowKey, Payload> others = new HashMap<>();
      IntStream.range(0, 20_000)
          .forEach(i -> others.put(JobTables.cancel(new JobId("none" + i)), Payload.of("0")));
      lab.write(others);
      overtaken.forEach(id -> lab.write(submission(id)));
      lab.time.run(5_000);
      assertEquals(lab.starts.size(), 0, "of 40 jobs");
    }

    /** Guards against the end of a job that was submitted after its cancellation was removed. */
    @Test
    public void runsJobsWhoseCancellationIsGone() {
      LeaderSimulation lab = new LeaderSimulation();
      lab.entry.intake().cancel(new JobId("a"), OptionalLong.empty(), answer -> {});
      lab.entry.intake().cancel(new JobId("b"), OptionalLong.empty(), answer -> {});
      lab.time.run(1_000);
      Transaction removal =
          new Transaction(Map.of(), Map.of(), List.of(JobTables.cancel(new JobId("a"))));
      lab.store.seenBy(lab.process, call -> true).commit(removal, 1_000, answer -> {});
      lab.time.run(500);
      lab.submit("a");
      lab.time.run(500);
      assertEquals(lab.running.size(), 1);
      lab.time.run(130_000);
      lab.submit("b");
      lab.time.run(500);
      assertEquals(lab.running.size(), 2);
    }

    /** Guards against a job that starts again since its cancellation was removed before it. */
    @Test
    public void keepsCancellationsUntilTheirJobGoes() {
      LeaderSimulation lab = new LeaderSimulation();
      lab.write(JobTables.cancel(new JobId("a")), "0");
      lab.time.run(115_000);
      lab.write(submission("a"));
      lab.time.run(20_000);
      assertEquals(lab.store.table(JobTables.CANCELS).keySet(), Set.of("a"));
      assertEquals(lab.store.table(JobTables.JOBS).keySet(), Set.of("a"));
      lab.time.run(110_000);
      assertEquals(lab.store.table(JobTables.CANCELS), Map.of());
      assertEquals(lab.store.table(JobTables.JOBS), Map.of());
      assertEquals(lab.starts.size(), 0);
    }

    /** Guards against rows of cancellations without a job that stay since their leader is gone. */
    @Test
    public void removesCancellationsWithoutJobs() {
      LeaderSimulation lab = new LeaderSimulation();
      lab.entry.intake().cancel(new JobId("a"), OptionalLong.empty(), answer -> {});
      lab.time.run(1_000);
      lab.restart();
      lab.time.run(10_000);
      lab.entry.intake().cancel(new JobId("b"), OptionalLong.empty(), answer -> {});
      lab.time.run(60_000);
      assertEquals(lab.store.table(JobTables.CANCELS).keySet(), Set.of("a", "b"));
      lab.time.run(80_000);
      assertEquals(lab.store.table(JobTables.CANCELS), Map.of());
    }

    private static boolean startsLate(long lateMillis) {
      LeaderSimulation lab = new LeaderSimulation();
      RowKey row = JobTables.job(new JobId("a"));
      lab.store.lateMillis = lateMillis;
      lab.store.fate =
          change ->
              change.writes().containsKey(row)
                  ? FakeTableStore.Fate.LATE
                  : FakeTableStore.Fate.GOOD;
      lab.submit("a");
      lab.time.run(100);
      List<Long> acknowledged = new ArrayList<>();
      lab.entry
          .intake()
          .cancel(
              new JobId("a"),
              OptionalLong.empty(),
              answer -> acknowledged.add(lab.process.now().mono()));
      lab.time.run(20_000);
      long lastMillis = acknowledged.get(0) + CANCEL_MILLIS;
      return lab.startMillis.stream().anyMatch(at -> at > lastMillis) || !lab.running.isEmpty();
    }
  }

  /** Jobs submitted and cancelled in any order while calls come late, and what they leave. */
  public static class CancellingInTrouble {

    private static final int SEEDS = 10;
    private static final int JOBS = 20;

    /**
     * Guards against work after acknowledged cancellations, and against rows that nobody removes.
     */
    @Test
    public void endsWorkAndLeavesNoRows() {
      List<String> faults =
          IntStream.range(0, SEEDS)
              .mapToObj(seed -> new Scene(seed).faults())
              .filter(found -> !found.isEmpty())
              .toList();
      assertEquals(faults, List.of(), "seeds of " + SEEDS);
    }

    /** The callers of some jobs, each of whom cancels until that is acknowledged. */
    private static final class Scene {
      private static final long LONGEST_MILLIS = 20_000;

      private final LeaderSimulation lab = new LeaderSimulation();
      private final Random random;
      private final VirtualTimers.View callers = lab.time.process();
      private final Map<JobId, Long> acknowledged = new HashMap<>();

      Scene(int seed) {
        random = new Random(seed);
        lab.store.fate = this::fate;
        IntStream.range(0, JOBS).mapToObj(i -> "job" + i).forEach(this::plan);
      }

      private FakeTableStore.Fate fate(Transaction change) {
        lab.store.lateMillis = 50L + random.nextInt(10_000);
        boolean leading =
            change.writes().keySet().stream().anyMatch(row -> !row.part().startsWith("intake"));
        FakeTableStore.Fate[] fates = FakeTableStore.Fate.values();
        return leading || random.nextBoolean()
            ? FakeTableStore.Fate.GOOD
            : fates[random.nextInt(fates.length)];
      }

      private void plan(String id) {
        callers.after(random.nextInt(5_000), () -> lab.submit(id));
        if (random.nextBoolean()) {
          callers.after(random.nextInt((int) LONGEST_MILLIS), () -> lab.submit(id));
        }
        callers.after(random.nextInt((int) LONGEST_MILLIS), () -> cancel(new JobId(id)));
      }

      private void cancel(JobId id) {
        lab.entry.intake().cancel(id, OptionalLong.empty(), answer -> answered(id, answer));
      }

      private void answered(JobId id, Intake.Answer answer) {
        if (answer == Intake.Answer.STORED || answer == Intake.Answer.ABSENT) {
          acknowledged.putIfAbsent(id, callers.now().mono());
        } else {
          callers.after(500, () -> cancel(id));
        }
      }

      String faults() {
        lab.time.run(10 * LONGEST_MILLIS);
        long late =
            IntStream.range(0, lab.starts.size())
                .filter(
                    i ->
                        lab.startMillis.get(i)
                            > acknowledged.get(lab.starts.get(i).task().job())
                                + Cancelling.CANCEL_MILLIS)
                .count();
        List<String> rows =
            Stream.of(JobTables.JOBS, JobTables.CANCELS, JobTables.WAITING)
                .filter(table -> !lab.store.table(table).isEmpty())
                .toList();
        return acknowledged.size() == JOBS && late == 0 && lab.running.isEmpty() && rows.isEmpty()
            ? ""
            : "acknowledged %d, late starts %d, running %s, rows in %s"
                .formatted(acknowledged.size(), late, lab.running.keySet(), rows);
      }
    }
  }
}
