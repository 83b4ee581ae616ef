package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;

/**
 * Plays a load against the decisions of leaders in virtual time, and tells what callers and the
 * users of services get. Orders take 2 ms each way, saves 12 ms. A seed gives the same outcome in
 * any process.
 */
final class Replay {

  static final long STEP_MILLIS = 10;

  private static final long TRIP_MILLIS = 2;
  private static final long SAVE_MILLIS = 12;
  private static final long SILENCE_MILLIS = 1_000;
  private static final long TICK_MILLIS = 100;

  /** How long nobody decides at a change of leaders. */
  private static final long LEADERLESS_MILLIS = 900;

  private static final double LATE_VALUE = 0.15;

  /** Harm by tasks beside counts several times what absence does. */
  private static final double HARM_FACTOR = 4;

  private record Due(long at, long order, Runnable what) {}

  private final ReplayLoad load;
  private final Map<WorkerId, ReplayWorker> workers = new HashMap<>();
  private final Map<JobId, ReplayLoad.Arrival> known = new HashMap<>();
  private final Map<JobId, Long> ended = new HashMap<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private final Map<JobId, String> stored = new TreeMap<>();
  private final Deque<JobEffect.SaveProgress> waitingSaves = new ArrayDeque<>();
  private final ReplayPolicy policy;
  private final long first;
  private JobScheduler leader;
  private String learned = "";
  private boolean storeAway;
  private long inheritedLapseMillis;
  private long now;
  private long orders;
  private long deciding;
  private boolean dirty;
  private long moves;
  private long paces;
  private double harmed;
  private double served;
  private double over;
  private long steps;

  Replay(ReplayShape shape, ReplayPolicy policy) {
    this.load = new ReplayLoad(shape, policy);
    this.policy = policy;
    this.first = 100_000;
    this.now = first - 8_000;
    load.workers.forEach(worker -> workers.put(worker.info.id(), worker));
    lead();
    long length = shape.lengthMillis();
    at(first + length / 4, this::loseWorkers);
    load.arrivals.forEach(arrival -> at(first + arrival.millis(), () -> arrive(arrival)));
    ReplayShape.Troubles troubles = shape.troubles();
    if (troubles.takeoverMillis() > 0) {
      LongStream.iterate(
              troubles.takeoverMillis(), at -> at < length, at -> at + troubles.takeoverMillis())
          .forEach(at -> at(first + at, this::leaderDies));
    }
    if (troubles.storeMillis() > 0) {
      at(first + length / 2, () -> storeAway = true);
      at(first + length / 2 + troubles.storeMillis(), this::storeBack);
    }
    tick();
  }

  /** Begins a term with what is stored. */
  private void lead() {
    leader =
        new JobScheduler(
            JobTiming.STANDARD,
            ReplayLoad.TABLE,
            moment(),
            inheritedLapseMillis,
            policy.interference(load));
    post(new JobEvent.LearnedRecovered(learned));
    load.workers.stream()
        .filter(worker -> workers.containsKey(worker.info.id()))
        .forEach(worker -> post(new JobEvent.WorkerSeen(worker.info)));
    new TreeMap<>(known).values().forEach(arrival -> recover(arrival.job()));
  }

  private void recover(JobSpec job) {
    String progress = stored.get(job.id());
    if (progress == null) {
      post(new JobEvent.JobArrived(job));
    } else if (!ProgressText.phase(progress).terminal()) {
      post(new JobEvent.JobRecovered(job, progress));
    }
  }

  private void leaderDies() {
    leader = null;
    waitingSaves.clear();
    inheritedLapseMillis = now + LeaderLease.GRANT_MILLIS;
    after(LEADERLESS_MILLIS, this::lead);
  }

  private void storeBack() {
    storeAway = false;
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

  private void toWorker(WorkerIncarnation life, Consumer<ReplayWorker> order) {
    after(TRIP_MILLIS, () -> Optional.ofNullable(workers.get(life.worker())).ifPresent(order));
  }

  private Moment moment() {
    return new Moment(now, now);
  }

  private void at(long millis, Runnable what) {
    orders++;
    due.add(new Due(millis, orders, what));
  }

  private void after(long millis, Runnable what) {
    at(now + millis, what);
  }

  private void arrive(ReplayLoad.Arrival arrival) {
    known.put(arrival.job().id(), arrival);
    post(new JobEvent.JobArrived(arrival.job()));
  }

  private void tick() {
    post(new JobEvent.Tick(moment()));
    after(TICK_MILLIS, this::tick);
  }

  private void post(JobEvent event) {
    post(leader, event);
  }

  /** Tells a leader, if it still leads. */
  private void post(JobScheduler to, JobEvent event) {
    if (to != null && to == leader) {
      long began = System.nanoTime();
      List<JobEffect> effects = to.handle(moment(), event);
      deciding += System.nanoTime() - began;
      effects.forEach(this::carryOut);
      dirty = true;
    }
  }

  private void decide() {
    long began = System.nanoTime();
    List<JobEffect> effects = leader.decide(moment());
    deciding += System.nanoTime() - began;
    effects.forEach(this::carryOut);
  }

  /** Returns the processor time of all decisions, in nanoseconds; differs from run to run. */
  long decidingNanos() {
    return deciding;
  }

  /** Plays to the end of the load and five seconds more. */
  ReplayOutcome run() {
    long end = first + load.shape.lengthMillis() + 5_000;
    while (now < end) {
      now += STEP_MILLIS;
      workers.values().forEach(worker -> worker.advance(now));
      while (!due.isEmpty() && due.peek().at() <= now) {
        due.poll().what().run();
      }
      if (dirty && leader != null) {
        dirty = false;
        decide();
      }
      if (now > first) {
        watch();
      }
    }
    return outcome();
  }

  private void carryOut(JobEffect effect) {
    JobScheduler from = leader;
    if (effect instanceof JobEffect.SaveProgress save) {
      save(from, save);
    } else if (effect instanceof JobEffect.StartRun start) {
      after(TRIP_MILLIS, () -> start(from, start));
    } else if (effect instanceof JobEffect.StopRun stop) {
      moves++;
      toWorker(stop.target().incarnation(), worker -> worker.stop(stop.run()));
      after(
          2 * TRIP_MILLIS,
          () -> post(from, new JobEvent.StopEnded(stop.target().incarnation(), stop.run(), true)));
    } else if (effect instanceof JobEffect.PaceRun pace) {
      paces++;
      after(
          100,
          () ->
              toWorker(
                  pace.target().incarnation(), worker -> worker.pace(pace.run(), pace.percent())));
    } else if (effect instanceof JobEffect.LookAtWorker look) {
      long sent = now;
      after(TRIP_MILLIS, () -> look(from, look, sent, now + look.waitMillis()));
    }
  }

  private void save(JobScheduler from, JobEffect.SaveProgress save) {
    if (storeAway) {
      waitingSaves.add(save);
    } else {
      after(SAVE_MILLIS, () -> saved(from, save));
    }
  }

  private void saved(JobScheduler from, JobEffect.SaveProgress save) {
    if (from == null || from != leader) {
      return;
    }
    stored.putAll(save.progress());
    learned = save.learned().isEmpty() ? learned : save.learned();
    save.progress().entrySet().stream()
        .filter(entry -> ProgressText.phase(entry.getValue()).terminal())
        .forEach(entry -> ended.putIfAbsent(entry.getKey(), now));
    post(from, new JobEvent.ProgressSaved());
  }

  private void start(JobScheduler from, JobEffect.StartRun order) {
    TaskName task = order.run().task();
    ReplayLoad.Arrival arrival = known.get(task.job());
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
        TRIP_MILLIS,
        () ->
            post(
                from,
                new JobEvent.StartEnded(
                    order.target().incarnation(), order.run(), StartResult.STARTED)));
  }

  private void look(JobScheduler from, JobEffect.LookAtWorker look, long sent, long until) {
    ReplayWorker worker = workers.get(look.target().incarnation().worker());
    if (worker == null) {
      after(
          SILENCE_MILLIS, () -> post(from, new JobEvent.WorkerSilent(look.target().incarnation())));
      return;
    }
    WorkerReport report = worker.report(look.acknowledged(), now);
    if (report.completions().isEmpty() && now < until) {
      after(STEP_MILLIS, () -> look(from, look, sent, until));
      return;
    }
    after(
        TRIP_MILLIS,
        () -> post(from, new JobEvent.WorkerReported(look.target().incarnation(), sent, report)));
  }

  private void watch() {
    steps++;
    int owed =
        known.values().stream()
            .filter(arrival -> arrival.job().isLongRunning())
            .mapToInt(arrival -> arrival.job().steps().get(0).count())
            .sum();
    served += owed;
    harmed += owed;
    for (ReplayWorker worker : workers.values()) {
      for (ReplayWorker.Running run : worker.running.values()) {
        if (run.spec.serves()) {
          over += run.over ? 1 : 0;
          boolean beside =
              worker.running.values().stream().anyMatch(r -> r.spec.is(StepSpec.Trait.FILLS));
          harmed += !run.atWork(now) ? 0 : run.over && beside ? HARM_FACTOR - 1 : run.over ? 0 : -1;
        }
      }
    }
  }

  private ReplayOutcome outcome() {
    List<ReplayLoad.Arrival> shorts = of(ReplayLoad.SHORT);
    List<ReplayLoad.Arrival> fills = of(ReplayLoad.FILL);
    double work =
        Stream.concat(shorts.stream(), fills.stream()).mapToDouble(ReplayLoad.Arrival::work).sum();
    return new ReplayOutcome(
        1 - harmed / served,
        earned(fills),
        earned(largest(fills)),
        earned(shorts),
        earned(largest(shorts)),
        unserved(Stream.concat(shorts.stream(), fills.stream()).toList()),
        over / steps,
        moves,
        paces,
        load.workers.stream().mapToDouble(worker -> worker.wasted).sum() / work);
  }

  /** Returns the share of jobs that never ended though three times their objective had passed. */
  private double unserved(List<ReplayLoad.Arrival> jobs) {
    return jobs.stream()
        .filter(arrival -> now - first - arrival.millis() > 3 * arrival.objectiveMillis())
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
    return new ArrayList<>(known.values())
        .stream().filter(arrival -> arrival.job().queue().equals(queue)).toList();
  }

  private double earned(List<ReplayLoad.Arrival> jobs) {
    double mean = jobs.stream().mapToDouble(ReplayLoad.Arrival::work).average().orElse(1);
    double owed = 0;
    double earned = 0;
    for (ReplayLoad.Arrival arrival : jobs) {
      double value = 0.3 + 0.7 * arrival.work() / mean;
      double objective = arrival.objectiveMillis();
      long began = first + arrival.millis();
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

  /** Returns the outcomes of a load drawn from seeds 1 to a number. */
  static List<ReplayOutcome> all(ReplayShape shape, ReplayPolicy policy, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(seed -> new Replay(shape.seeded(seed), policy).run())
        .toList();
  }

  /** Returns the mean outcome of a load drawn from seeds 1 to a number. */
  static ReplayOutcome mean(ReplayShape shape, int seeds) {
    return ReplayOutcome.mean(all(shape, ReplayPolicy.STANDING, seeds));
  }
}
