package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.id.WorkerId;

/**
 * Simulates a load and the decisions of leaders in virtual time, and measures what callers and the
 * users of services get. Orders take 2 ms each way, saves 12 ms. A seed gives the same outcome in
 * any process.
 */
final class Replay {

  static final long STEP_MILLIS = 10;

  private static final long ONE_WAY_DELAY_MILLIS = 2;
  private static final long SAVE_MILLIS = 12;
  private static final long SILENCE_MILLIS = 1_000;
  private static final long TICK_MILLIS = 100;

  /** Time without a leader at a change of leaders. */
  private static final long LEADERLESS_MILLIS = 900;

  private static final double LATE_VALUE = 0.15;

  /**
   * Weight of the time that a service is over its bound beside best-effort tasks, relative to the
   * time that it does not run.
   */
  private static final double HARM_FACTOR = 4;

  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final ReplayLoad load;
  private final Random stopTimes;
  private final Set<RunKey> stopping = new HashSet<>();
  private final Map<WorkerId, ReplayWorker> workers = new HashMap<>();
  private final Map<JobId, ReplayLoad.Arrival> arrived = new HashMap<>();
  private final Map<JobId, Long> ended = new HashMap<>();

  /** Jobs whose last submission was rejected. */
  private final Set<JobId> rejected = new HashSet<>();

  private long rejections;
  private final PriorityQueue<ScheduledAction> due =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private final StoredRows stored = new StoredRows();
  private final Deque<JobEffect.SaveProgress> waitingSaves = new ArrayDeque<>();
  private final ReplayPolicy policy;
  private final long startMillis;
  private JobScheduler leader;
  private String learned = "";
  private boolean storeUnavailable;
  private long inheritedLeaseEndMillis;
  private long now;
  private long scheduledCount;
  private long decisionNanos;
  private boolean dirty;
  private long moves;
  private long paceOrders;
  private double lostService;
  private double owedService;
  private double overBound;
  private long steps;

  Replay(ReplayShape shape, ReplayPolicy policy) {
    this.load = new ReplayLoad(shape, policy);
    this.policy = policy;
    this.stopTimes = new Random(shape.seed());
    this.startMillis = 100_000;
    this.now = startMillis - 8_000;
    load.workers.forEach(worker -> workers.put(worker.info.id(), worker));
    startTerm();
    long length = shape.lengthMillis();
    at(startMillis + length / 4, this::loseWorkers);
    load.arrivals.forEach(arrival -> at(startMillis + arrival.millis(), () -> arrive(arrival)));
    ReplayShape.Troubles troubles = shape.troubles();
    if (troubles.takeoverMillis() > 0) {
      LongStream.iterate(
              troubles.takeoverMillis(), at -> at < length, at -> at + troubles.takeoverMillis())
          .forEach(at -> at(startMillis + at, this::loseLeader));
    }
    if (troubles.storeOutageMillis() > 0) {
      at(startMillis + length / 2, () -> storeUnavailable = true);
      at(startMillis + length / 2 + troubles.storeOutageMillis(), this::restoreStore);
    }
    tick();
  }

  /** Starts the term of a leader with the stored state. */
  private void startTerm() {
    leader =
        new JobScheduler(
            JobTiming.STANDARD,
            policy.loadControl(),
            ReplayLoad.TABLE,
            moment(),
            inheritedLeaseEndMillis,
            policy.interference(load));
    post(new JobEvent.LearnedRecovered(learned));
    load.workers.stream()
        .filter(worker -> workers.containsKey(worker.info.id()))
        .forEach(worker -> post(new JobEvent.WorkerSeen(worker.info)));
    new TreeMap<>(arrived).values().forEach(arrival -> recover(arrival.job()));
  }

  private void recover(JobSpec job) {
    StoredProgress progress = stored.get(job.id());
    if (rejected.contains(job.id())) {
      return;
    }
    if (progress == null) {
      post(new JobEvent.JobArrived(job));
    } else if (!progress.phase().terminal()) {
      post(new JobEvent.JobRecovered(job, progress));
    }
  }

  private void loseLeader() {
    leader = null;
    waitingSaves.clear();
    inheritedLeaseEndMillis = now + LeaderLease.GRANT_MILLIS;
    after(LEADERLESS_MILLIS, this::startTerm);
  }

  private void restoreStore() {
    storeUnavailable = false;
    while (!waitingSaves.isEmpty()) {
      save(leader, waitingSaves.poll());
    }
  }

  private void loseWorkers() {
    List<WorkerId> lost =
        load.workers.stream()
            .limit(load.shape.troubles().lostWorkers())
            .map(w -> w.info.id())
            .toList();
    lost.forEach(workers::remove);
    lost.forEach(
        id -> post(new JobEvent.WorkerUnlisted(WorkerIncarnation.withUniqueIdentifier(id))));
  }

  private void sendToWorker(WorkerIncarnation incarnation, Consumer<ReplayWorker> order) {
    after(
        ONE_WAY_DELAY_MILLIS,
        () -> Optional.ofNullable(workers.get(incarnation.worker())).ifPresent(order));
  }

  private Moment moment() {
    return new Moment(now, now);
  }

  private void at(long millis, Runnable action) {
    scheduledCount++;
    due.add(new ScheduledAction(millis, scheduledCount, action));
  }

  private void after(long millis, Runnable action) {
    at(now + millis, action);
  }

  private void arrive(ReplayLoad.Arrival arrival) {
    arrived.put(arrival.job().id(), arrival);
    submit(arrival);
  }

  /**
   * Submits a job as an entry instance with the leader's limits does. The caller of a rejected job
   * returns when it is told to, as long as the job can be useful; its objective counts from the
   * first submission.
   */
  private void submit(ReplayLoad.Arrival arrival) {
    JobSpec job = arrival.job();
    Optional<AdmissionLimits.Limit> limit =
        Optional.ofNullable(leader)
            .map(JobScheduler::admissionLimits)
            .flatMap(
                limits ->
                    limits.limitFor(job.queue().name(), AdmissionDecisions.declaredWork(job)));
    if (limit.isEmpty()) {
      rejected.remove(job.id());
      post(new JobEvent.JobArrived(job));
      return;
    }
    rejections++;
    rejected.add(job.id());
    long next = now + limit.get().retryAfterMillis();
    if (next - startMillis - arrival.millis() < 3 * arrival.objectiveMillis()) {
      at(next, () -> submit(arrival));
    }
  }

  /** Returns how many submissions were rejected. */
  long rejections() {
    return rejections;
  }

  private void tick() {
    post(new JobEvent.Tick(moment()));
    after(TICK_MILLIS, this::tick);
  }

  private void post(JobEvent event) {
    post(leader, event);
  }

  /** Sends an event to a leader, if it still leads. */
  private void post(JobScheduler to, JobEvent event) {
    if (to != null && to == leader) {
      long began = System.nanoTime();
      List<JobEffect> effects = to.handle(moment(), event);
      decisionNanos += System.nanoTime() - began;
      effects.forEach(this::execute);
      dirty = true;
    }
  }

  private void decide() {
    long began = System.nanoTime();
    List<JobEffect> effects = leader.decide(moment());
    decisionNanos += System.nanoTime() - began;
    effects.forEach(this::execute);
  }

  /** Returns the elapsed time of all decisions, in nanoseconds. It differs from run to run. */
  long decisionNanos() {
    return decisionNanos;
  }

  /** Runs to the end of the load and five seconds more. */
  ReplayOutcome run() {
    long end = startMillis + load.shape.lengthMillis() + 5_000;
    while (now < end) {
      now += STEP_MILLIS;
      workers.values().forEach(worker -> worker.advance(now));
      while (!due.isEmpty() && due.peek().at() <= now) {
        due.poll().action().run();
      }
      if (dirty && leader != null) {
        dirty = false;
        decide();
      }
      if (now > startMillis) {
        measure();
      }
    }
    return outcome();
  }

  private void execute(JobEffect effect) {
    JobScheduler from = leader;
    if (effect instanceof JobEffect.SaveProgress save) {
      save(from, save);
    } else if (effect instanceof JobEffect.StartRun start) {
      after(ONE_WAY_DELAY_MILLIS, () -> start(from, start));
    } else if (effect instanceof JobEffect.StopRun stop) {
      moves++;
      stop(stop);
      after(
          2 * ONE_WAY_DELAY_MILLIS,
          () -> post(from, new JobEvent.StopEnded(stop.target().incarnation(), stop.run(), true)));
    } else if (effect instanceof JobEffect.PaceRun pace) {
      paceOrders++;
      after(
          100,
          () ->
              sendToWorker(
                  pace.target().incarnation(), worker -> worker.pace(pace.run(), pace.percent())));
    } else if (effect instanceof JobEffect.LookAtWorker poll) {
      long sent = now;
      after(ONE_WAY_DELAY_MILLIS, () -> poll(from, poll, sent, now + poll.waitMillis()));
    }
  }

  /** Stops a run; a repeated order does not hasten the first. */
  private void stop(JobEffect.StopRun stop) {
    long longest = load.shape.troubles().stopMillis();
    if (longest == 0) {
      sendToWorker(stop.target().incarnation(), worker -> worker.stop(stop.run()));
    } else if (stopping.add(stop.run())) {
      after(
          (long) (longest * stopTimes.nextDouble()),
          () -> sendToWorker(stop.target().incarnation(), worker -> worker.stop(stop.run())));
    }
  }

  private void save(JobScheduler from, JobEffect.SaveProgress save) {
    if (storeUnavailable) {
      waitingSaves.add(save);
    } else {
      after(SAVE_MILLIS, () -> saved(from, save));
    }
  }

  private void saved(JobScheduler from, JobEffect.SaveProgress save) {
    if (from == null || from != leader) {
      return;
    }
    stored.apply(save);
    learned = save.learned().isEmpty() ? learned : save.learned();
    save.progress().entrySet().stream()
        .filter(row -> row.getKey().isMain())
        .filter(row -> ProgressText.phase(row.getValue()).terminal())
        .forEach(row -> ended.putIfAbsent(row.getKey().job(), now));
    post(from, new JobEvent.ProgressSaved());
  }

  private void start(JobScheduler from, JobEffect.StartRun order) {
    TaskName task = order.run().task();
    ReplayLoad.Arrival arrival = arrived.get(task.job());
    StepSpec spec = arrival.job().steps().get(task.step().step());
    double work = arrival.workMillis().get(task.step().step())[task.index()];
    double done = order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
    ReplayWorker worker = workers.get(order.target().incarnation().worker());
    if (worker == null) {
      return;
    }
    worker.start(
        new ReplayWorker.Running(
            order.run(),
            spec,
            load.service(task.job()),
            spec.is(StepSpec.Trait.LASTS) ? Double.MAX_VALUE : work,
            done,
            now));
    after(
        ONE_WAY_DELAY_MILLIS,
        () ->
            post(
                from,
                new JobEvent.StartEnded(
                    order.target().incarnation(), order.run(), StartResult.STARTED)));
  }

  private void poll(JobScheduler from, JobEffect.LookAtWorker poll, long sent, long until) {
    ReplayWorker worker = workers.get(poll.target().incarnation().worker());
    if (worker == null) {
      after(
          SILENCE_MILLIS, () -> post(from, new JobEvent.WorkerSilent(poll.target().incarnation())));
      return;
    }
    WorkerReport report = worker.report(poll.acknowledged(), now);
    if (report.completions().isEmpty() && now < until) {
      after(STEP_MILLIS, () -> poll(from, poll, sent, until));
      return;
    }
    after(
        ONE_WAY_DELAY_MILLIS,
        () -> post(from, new JobEvent.WorkerReported(poll.target().incarnation(), sent, report)));
  }

  private void measure() {
    steps++;
    int owed =
        arrived.values().stream()
            .filter(arrival -> arrival.job().isLongRunning())
            .mapToInt(arrival -> arrival.job().steps().get(0).count())
            .sum();
    owedService += owed;
    lostService += owed;
    for (ReplayWorker worker : workers.values()) {
      for (ReplayWorker.Running run : worker.running.values()) {
        if (run.spec.serves()) {
          overBound += run.over ? 1 : 0;
          boolean bestEffortBeside =
              worker.running.values().stream().anyMatch(r -> r.spec.is(StepSpec.Trait.FILLS));
          lostService +=
              !run.atWork(now)
                  ? 0
                  : run.over && bestEffortBeside ? HARM_FACTOR - 1 : run.over ? 0 : -1;
        }
      }
    }
  }

  private ReplayOutcome outcome() {
    List<ReplayLoad.Arrival> shortJobs = of(ReplayLoad.SHORT);
    List<ReplayLoad.Arrival> bestEffort = of(ReplayLoad.BEST_EFFORT);
    double work =
        Stream.concat(shortJobs.stream(), bestEffort.stream())
            .mapToDouble(ReplayLoad.Arrival::work)
            .sum();
    return new ReplayOutcome(
        1 - lostService / owedService,
        earnedValue(bestEffort),
        earnedValue(largest(bestEffort)),
        earnedValue(shortJobs),
        earnedValue(largest(shortJobs)),
        unserved(Stream.concat(shortJobs.stream(), bestEffort.stream()).toList()),
        overBound / steps,
        moves,
        paceOrders,
        load.workers.stream().mapToDouble(worker -> worker.wasted).sum() / work);
  }

  /**
   * Returns the share of jobs that did not end, of those whose objective has passed three times
   * over.
   */
  private double unserved(List<ReplayLoad.Arrival> jobs) {
    return jobs.stream()
        .filter(arrival -> now - startMillis - arrival.millis() > 3 * arrival.objectiveMillis())
        .mapToInt(arrival -> ended.containsKey(arrival.job().id()) ? 0 : 1)
        .average()
        .orElse(0);
  }

  private static List<ReplayLoad.Arrival> largest(List<ReplayLoad.Arrival> jobs) {
    return jobs.stream()
        .sorted(Comparator.comparingDouble(ReplayLoad.Arrival::work).reversed())
        .limit(Math.max(1, jobs.size() / 10))
        .toList();
  }

  private List<ReplayLoad.Arrival> of(JobQueue queue) {
    return new ArrayList<>(arrived.values())
        .stream().filter(arrival -> arrival.job().queue().equals(queue)).toList();
  }

  private double earnedValue(List<ReplayLoad.Arrival> jobs) {
    double mean = jobs.stream().mapToDouble(ReplayLoad.Arrival::work).average().orElse(1);
    double owed = 0;
    double earned = 0;
    for (ReplayLoad.Arrival arrival : jobs) {
      double value = 0.3 + 0.7 * arrival.work() / mean;
      double objective = arrival.objectiveMillis();
      long began = startMillis + arrival.millis();
      boolean open = !ended.containsKey(arrival.job().id());
      double took = ended.getOrDefault(arrival.job().id(), now) - began;
      if (open && took < objective) {
        continue;
      }
      owed += value;
      boolean late = took > objective;
      earned += took > 3 * objective || (open && late) ? 0 : late ? LATE_VALUE * value : value;
    }
    return owed == 0 ? 1 : earned / owed;
  }

  /** Returns the outcomes of a load for the seeds 1 to a number. */
  static List<ReplayOutcome> all(ReplayShape shape, ReplayPolicy policy, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(seed -> new Replay(shape.seeded(seed), policy).run())
        .toList();
  }

  /** Returns the mean outcome of a load for the seeds 1 to a number. */
  static ReplayOutcome mean(ReplayShape shape, int seeds) {
    return ReplayOutcome.mean(all(shape, ReplayPolicy.STANDING, seeds));
  }
}
