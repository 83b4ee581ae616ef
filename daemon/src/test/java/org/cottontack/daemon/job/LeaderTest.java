package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.WorkerInfo;
import org.cottontack.core.job.WorkerLife;
import org.cottontack.core.job.WorkerReport;
import org.cottontack.core.peer.Payload;
import org.cottontack.wire.JobCodec;
import org.testng.annotations.Test;

/** Tests of a term of leading over a store that loses, delays and hides. */
public class LeaderTest {

  private static JobSpec job(String id) {
    return TestJobs.job(new JobId(id), 1);
  }

  /** One instance over a fake store, with one worker that runs everything for ever. */
  private static final class Lab implements WorkerRegistry, WorkerCalls {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    VirtualTimers.View process = time.process();
    final List<RunKey> starts = new ArrayList<>();
    final List<Long> startMillis = new ArrayList<>();
    final Map<RunKey, Boolean> running = new HashMap<>();
    String hidden = "nothing";

    /** Tells the instance which data centres are evacuated. */
    Consumer<Set<DataCentreId>> operator;

    Set<DataCentreId> evacuated = Set.of();

    /** When the rules were last told, or 0 for just now. */
    long rulesMillis;

    /** How long an order to start waits for its connection, in milliseconds. */
    long connectMillis;

    JobEntry entry;

    Lab() {
      restart();
    }

    /** Ends the instance's process and starts another. */
    void restart() {
      process.killed = true;
      process = time.process();
      TableStore seen = store.seenBy(process, call -> !call.equals(hidden));
      WatchedStore watched = new WatchedStore(seen, process);
      entry = new JobEntry(TestJobs.INSTANCE, 120_000, watched, process, rules(), this, this);
      entry.start();
      time.run(500);
    }

    void write(RowKey row, String text) {
      write(Map.of(row, Payload.of(text)));
    }

    void write(Map<RowKey, Payload> rows) {
      Change change = new Change(Map.of(), rows, List.of());
      store.seenBy(process, call -> true).commit(change, 1_000, answer -> {});
      time.run(100);
    }

    void submit(String id) {
      entry.intake().submit(job(id), OptionalLong.empty(), answer -> {});
    }

    private RuleSource rules() {
      return new RuleSource() {
        @Override
        public void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations) {
          operator = evacuations;
          operator.accept(evacuated);
          tables.accept(new JobTable(1, List.of(TestJobs.QUEUE), List.of()));
        }

        @Override
        public long contactMillis() {
          return asked().mono();
        }

        @Override
        public Moment asked() {
          return rulesMillis > 0 ? new Moment(rulesMillis, rulesMillis) : process.now();
        }

        @Override
        public void askIfLeapt() {}
      };
    }

    @Override
    public Follower follower(Consumer<JobEvent> listener, Runnable onCurrent) {
      TableStore seen = store.seenBy(process, call -> true);
      return new Follower(seen, process, "workers", List.of("all"), row -> {}, onCurrent);
    }

    @Override
    public void replay(Consumer<JobEvent> listener) {
      listener.accept(
          new JobEvent.WorkerSeen(
              new WorkerInfo(
                  WorkerLife.only(new WorkerId("w")),
                  "pool",
                  "w:1",
                  new DataCentreId("dc"),
                  new Resources(32_000, 10_000, 0),
                  List.of(),
                  false)));
    }

    @Override
    public void start(
        JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
      process.after(connectMillis, () -> connected(start, allowed, done));
    }

    private void connected(
        JobEffect.StartRun start, BooleanSupplier allowed, Consumer<StartResult> done) {
      boolean sent = allowed.getAsBoolean();
      if (sent) {
        starts.add(start.run());
        startMillis.add(process.now().mono());
        running.put(start.run(), true);
      }
      process.after(2, () -> done.accept(sent ? StartResult.STARTED : StartResult.NOT_SENT));
    }

    @Override
    public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {
      running.remove(stop.run());
      process.after(2, () -> done.accept(true));
    }

    @Override
    public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
      process.after(2, () -> done.accept(true));
    }

    @Override
    public void look(
        JobEffect.LookAtWorker look, long epoch, BooleanSupplier allowed, Consumer<Look> done) {
      process.after(
          Math.max(2, look.waitMillis()),
          () -> {
            long clock = process.now().mono();
            List<WorkerReport.Running> list =
                running.keySet().stream()
                    .map(run -> new WorkerReport.Running(run.task(), run.run(), "", 100, 0))
                    .toList();
            done.accept(
                new Look(
                    Look.Outcome.ANSWERED,
                    new WorkerReport(WorkerLife.UNSTATED, clock, list, List.of())));
          });
    }
  }

  /** What a leader starts. */
  public static class Starting {

    @Test
    public void startsWhatIsSubmitted() {
      Lab lab = new Lab();
      lab.submit("a");
      lab.time.run(500);
      assertEquals(lab.starts.size(), 1);
      lab.time.run(1_000);
      assertTrue(lab.store.table(JobTables.WAITING).isEmpty());
    }

    /**
     * The leader hears nothing of cancellations while it hears of jobs. Other instances go on
     * telling callers that their jobs are cancelled; after two seconds of that it starts nothing,
     * and goes on when the news come again.
     */
    @Test
    public void startsNothingWithoutNewsOfCancellations() {
      Lab lab = new Lab();
      lab.hidden = "follow " + JobTables.CANCELS;
      lab.time.run(4_000);
      lab.submit("a");
      lab.time.run(2_000);
      assertEquals(lab.starts.size(), 0);
      lab.hidden = "nothing";
      lab.time.run(3_000);
      assertEquals(lab.starts.size(), 1);
    }
  }

  /** What a leader starts while data centres are being emptied. */
  public static class Evacuating {

    private static final Set<DataCentreId> HERE = Set.of(new DataCentreId("dc"));

    /** Guards against a first start by a leader that took over after the operator's request. */
    @Test
    public void startsNothingThereAfterTakingOver() {
      Lab lab = new Lab();
      lab.evacuated = HERE;
      lab.restart();
      lab.time.run(10_000);
      lab.submit("a");
      lab.time.run(3_000);
      assertEquals(lab.entry.leadingEpoch(), 2);
      assertEquals(lab.starts.size(), 0);
      lab.operator.accept(Set.of());
      lab.time.run(500);
      assertEquals(lab.starts.size(), 1);
    }

    /** Guards against an order that still waits for its connection when the request comes. */
    @Test
    public void sendsNoOrderThatWaitedForItsConnection() {
      Lab lab = new Lab();
      lab.connectMillis = 200;
      lab.submit("a");
      lab.time.run(100);
      lab.operator.accept(HERE);
      lab.time.run(3_000);
      assertEquals(lab.starts.size(), 0);
    }

    /** Guards against starts by a leader that no longer hears the operator. */
    @Test
    public void startsNothingWithoutNewsOfEvacuations() {
      Lab lab = new Lab();
      lab.rulesMillis = lab.process.now().mono();
      lab.time.run(4_000);
      lab.submit("a");
      lab.time.run(2_000);
      assertEquals(lab.starts.size(), 0);
      lab.rulesMillis = 0;
      lab.time.run(1_000);
      assertEquals(lab.starts.size(), 1);
    }
  }

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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
      lab.entry.intake().cancel(new JobId("a"), OptionalLong.empty(), answer -> {});
      lab.entry.intake().cancel(new JobId("b"), OptionalLong.empty(), answer -> {});
      lab.time.run(1_000);
      Change removal = new Change(Map.of(), Map.of(), List.of(JobTables.cancel(new JobId("a"))));
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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
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
      Lab lab = new Lab();
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

      private final Lab lab = new Lab();
      private final Random random;
      private final VirtualTimers.View callers = lab.time.process();
      private final Map<JobId, Long> acknowledged = new HashMap<>();

      Scene(int seed) {
        random = new Random(seed);
        lab.store.fate = this::fate;
        IntStream.range(0, JOBS).mapToObj(i -> "job" + i).forEach(this::plan);
      }

      private FakeTableStore.Fate fate(Change change) {
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

  /** What a leader writes. */
  public static class Saving {

    /**
     * The progress of one job cannot be read, by damage or by another version. Its tasks are not
     * started anew, since they may run or be done; and all other jobs go on.
     */
    @Test
    public void goesOnBesideProgressThatItCannotRead() {
      Lab lab = new Lab();
      lab.submit("a");
      lab.time.run(1_000);
      assertEquals(lab.starts.size(), 1);
      lab.running.clear();
      lab.write(JobTables.progress(new JobId("a")), "r\n0 0 zero p 1");
      lab.restart();
      lab.time.run(30_000);
      lab.submit("b");
      lab.time.run(1_000);
      assertEquals(lab.starts.get(1).task().job(), new JobId("b"));
      assertEquals(lab.starts.size(), 2);
    }

    /**
     * A version of this program that cannot read a job leads for a while. The job is open, its
     * caller waits: its rows must stay for a leader that can read them.
     */
    @Test
    public void keepsOpenJobsThatItCannotRead() {
      Lab lab = new Lab();
      lab.submit("a");
      lab.time.run(1_000);
      RowKey row = JobTables.job(new JobId("a"));
      lab.write(row, "no job");
      lab.restart();
      lab.time.run(300_000);
      assertTrue(lab.store.table(JobTables.JOBS).containsKey("a"));
      assertTrue(lab.store.table(JobTables.PROGRESS).containsKey("a"));
    }

    /**
     * A save of progress gets no answer and is carried out three seconds later, after newer saves.
     * It must not bring the old progress back: the next leader would run finished work again.
     */
    @Test
    public void lateCopiesOfSavesChangeNothing() {
      Lab lab = new Lab();
      boolean[] first = {true};
      lab.store.fate =
          change -> {
            boolean progress = change.writes().keySet().stream().anyMatch(JobTables.FENCE::equals);
            if (progress && first[0]) {
              first[0] = false;
              return FakeTableStore.Fate.LATE;
            }
            return FakeTableStore.Fate.GOOD;
          };
      lab.submit("a");
      lab.time.run(1_000);
      lab.submit("b");
      lab.time.run(500);
      String before = lab.store.table(JobTables.PROGRESS).toString();
      assertEquals(lab.starts.size(), 2);
      lab.time.run(4_000);
      assertEquals(lab.store.table(JobTables.PROGRESS).toString(), before);
    }

    /** The answer to a save is lost though it is done: the leader goes on, and starts once. */
    @Test
    public void goesOnWhenTheAnswerToSavesIsLost() {
      Lab lab = new Lab();
      boolean[] first = {true};
      lab.store.fate =
          change -> {
            boolean progress = change.writes().keySet().stream().anyMatch(JobTables.FENCE::equals);
            if (progress && first[0]) {
              first[0] = false;
              return FakeTableStore.Fate.ANSWER_LOST;
            }
            return FakeTableStore.Fate.GOOD;
          };
      lab.submit("a");
      lab.time.run(2_000);
      assertEquals(lab.starts.size(), 1);
      assertEquals(lab.entry.leadingEpoch(), 1);
    }
  }

  /** Larger instances that ask for the lead. */
  public static class MakingWay {

    private static final class Asking implements Leadership.Listener {
      final List<Long> won = new ArrayList<>();

      @Override
      public void won(long epoch) {
        won.add(epoch);
      }

      @Override
      public void lost() {}

      @Override
      public boolean mayMakeWay(String dataCentre) {
        return true;
      }
    }

    /**
     * A leader still reads the open jobs when a larger instance asks it for the lead. It makes way
     * at once: to read on would take a small one seconds, in which nothing starts.
     */
    @Test
    public void makesWayWhileTakingOver() {
      Lab lab = new Lab();
      lab.hidden = "scan " + JobTables.PROGRESS;
      lab.restart();
      Asking large = new Asking();
      VirtualTimers.View process = lab.time.process();
      Instance instance = new Instance("large", "dc", new Capacity(4_000, 400_000));
      TableStore store = lab.store.seenBy(process, call -> true);
      new Leadership(store, process, instance, "large/1", large).start();
      lab.time.run(1_500);
      assertEquals(large.won, List.of(3L));
    }
  }
}
