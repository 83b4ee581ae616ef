package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;

/**
 * The decisions of one leader's term: which task runs on which worker. A placement is stored before
 * its start order leaves, and an end is acknowledged to its worker only after it is stored, so that
 * the next leader finds all it needs in the store and on the workers. It reads no clock and does no
 * input or output; confined to one thread.
 */
public final class JobScheduler {

  private final JobTiming timing;
  private final Interference interference = new Interference();
  private final Pacing pacing = new Pacing(interference);
  private final Placement placement = new Placement(interference);
  private final Estimates estimates = new Estimates();
  private final Urgency urgency = new Urgency(estimates);
  private final LearnedText learned = new LearnedText(interference, estimates);
  private final long startMillis;
  private final long inheritedLapseMillis;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<WorkerId, Worker> workers = new TreeMap<>();
  private final Set<Job> hungry = new LinkedHashSet<>();
  private final Set<Job> timed = new LinkedHashSet<>();
  private final Set<JobId> cancelledUnseen = new LinkedHashSet<>();
  private final Set<Job> dirty = new LinkedHashSet<>();
  private final Map<WorkerId, Long> savingEnds = new HashMap<>();
  private final List<Task> savingStarts = new ArrayList<>();
  private JobTable table;
  private boolean saving;
  private boolean roomChanged;
  private long notedMillis;
  private long learnedMillis;
  private Moment now;
  private List<JobEffect> out = new ArrayList<>();

  /**
   * Begins a term.
   *
   * @param timing waits and lease lengths
   * @param table the rules in force
   * @param start when the term began
   */
  public JobScheduler(JobTiming timing, JobTable table, Moment start) {
    this.timing = timing;
    this.table = table;
    this.now = start;
    this.startMillis = start.mono();
    this.inheritedLapseMillis = start.mono() + timing.inheritedLeaseMillis();
  }

  /**
   * Takes one event in and decides.
   *
   * @param moment the time of the event
   * @param event what happened
   * @return what is to be done, in order
   */
  public List<JobEffect> reduce(Moment moment, JobEvent event) {
    List<JobEffect> effects = new ArrayList<>(take(moment, event));
    effects.addAll(decide(moment));
    return effects;
  }

  /**
   * Takes one event in and leaves placing and saving to {@link #decide}. After a takeover hundreds
   * of events come at once; deciding after each of them kept a leader busy for longer than its
   * lease.
   */
  public List<JobEffect> take(Moment moment, JobEvent event) {
    now = moment;
    out = new ArrayList<>();
    apply(event);
    return out;
  }

  /** Places what waits and saves what has changed since the last decision. */
  public List<JobEffect> decide(Moment moment) {
    now = moment;
    out = new ArrayList<>();
    place();
    save();
    return out;
  }

  private void apply(JobEvent event) {
    if (event instanceof JobEvent.WorkerReported e) {
      reported(e);
    } else if (event instanceof JobEvent.StartEnded e) {
      startEnded(e);
    } else if (event instanceof JobEvent.StopEnded e) {
      stopEnded(e);
    } else if (event instanceof JobEvent.PaceLost e) {
      paceLost(e);
    } else if (event instanceof JobEvent.ProgressSaved) {
      saved();
    } else if (event instanceof JobEvent.Tick) {
      tick();
    } else if (event instanceof JobEvent.JobArrived e) {
      arrived(e.job());
    } else if (event instanceof JobEvent.JobRecovered e) {
      recovered(e);
    } else if (event instanceof JobEvent.LearnedRecovered e) {
      restoreLearned(e.learned());
    } else if (event instanceof JobEvent.JobCancelled e) {
      cancelled(e.job());
    } else if (event instanceof JobEvent.WorkerSeen e) {
      seen(e.worker());
    } else if (event instanceof JobEvent.WorkerUnlisted e) {
      worker(e.worker()).ifPresent(this::unlisted);
    } else if (event instanceof JobEvent.WorkerSilent e) {
      worker(e.worker()).ifPresent(this::silent);
    } else if (event instanceof JobEvent.WorkerReborn e) {
      worker(e.worker()).ifPresent(this::reborn);
    } else if (event instanceof JobEvent.TableChanged e) {
      table = e.table();
    }
  }

  // Jobs

  private void arrived(JobSpec spec) {
    if (jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, now.mono());
    estimates.arrived(spec.queue(), urgency.work(spec));
    open(job);
    note("job.taken", spec.id(), describe(spec));
    if (cancelledUnseen.remove(spec.id())) {
      end(job, JobPhase.CANCELLED);
    }
  }

  private static String describe(JobSpec spec) {
    String steps = spec.steps().stream().map(StepSpec::describe).collect(Collectors.joining(", "));
    return "queue=%s steps=[%s]".formatted(spec.queue().name(), steps);
  }

  private void open(Job job) {
    jobs.put(job.spec.id(), job);
    job.advance(now.wall());
    if (!job.phase.terminal()) {
      hungry.add(job);
    }
    roomChanged = true;
    if (!job.phase.terminal() && job.spec.schedule().timed()) {
      timed.add(job);
    }
  }

  private void recovered(JobEvent.JobRecovered event) {
    Job job = new Job(event.job(), now.mono());
    ProgressText.restore(job, event.progress());
    job.begun = job.phase != JobPhase.QUEUED;
    open(job);
    job.tasks()
        .filter(task -> task.phase == Task.Phase.PLACED)
        .forEach(task -> knownOrGhost(task.worker).add(task));
  }

  /** A worker that is not registered may still run what it was given. */
  private Worker knownOrGhost(WorkerId id) {
    return workers.computeIfAbsent(
        id, key -> new Worker(WorkerInfo.unlisted(key), inheritedLapseMillis));
  }

  /**
   * News of jobs and of cancellations come separately. A cancellation that overtakes its job is
   * kept for it; ignored, the job would run although its caller was told that it is cancelled.
   */
  private void cancelled(JobId id) {
    Job job = jobs.get(id);
    if (job == null) {
      cancelledUnseen.add(id);
      forgetOldest();
    } else if (!job.phase.terminal()) {
      end(job, JobPhase.CANCELLED);
    }
  }

  private void forgetOldest() {
    if (cancelledUnseen.size() > timing.cancelsKept()) {
      cancelledUnseen.remove(cancelledUnseen.iterator().next());
    }
  }

  private void end(Job job, JobPhase phase) {
    if (!job.begun) {
      job.begun = true;
      out.add(new JobEffect.Begun(job.spec.id()));
    }
    job.phase = phase;
    dirty.add(job);
    hungry.remove(job);
    timed.remove(job);
    note("job.ended", job.spec.id(), phase.name());
    job.tasks().filter(task -> task.phase == Task.Phase.PLACED).toList().forEach(this::withdraw);
  }

  private void withdraw(Task task) {
    Worker worker = workers.get(task.worker);
    boolean neverSent =
        task.order == Task.Order.UNSAVED || (task.order == Task.Order.RESEND && !task.uncertain);
    if (neverSent) {
      release(task);
    } else {
      stop(worker, task.key());
    }
  }

  private void settle(Job job) {
    if (!job.phase.terminal() && job.finished()) {
      end(job, JobPhase.COMPLETE);
    }
  }

  /** Takes a task off its worker; it waits again unless its job has ended. */
  private void release(Task task) {
    worker(task.worker).ifPresent(worker -> worker.remove(task));
    task.release();
    dirty.add(task.job);
    roomChanged = true;
    if (!task.job.phase.terminal()) {
      hungry.add(task.job);
    }
  }

  // Placing

  private void place() {
    if (hungry.isEmpty() || !roomChanged) {
      return;
    }
    roomChanged = false;
    NoRoom noRoom = new NoRoom();
    placement.begin(workers.values());
    urgency.order(hungry, now.mono()).forEach(job -> placeJob(job, noRoom));
  }

  private void placeJob(Job job, NoRoom noRoom) {
    JobQueue queue = table.current(job.spec.queue());
    List<Task> ready = job.ready().toList();
    boolean all = true;
    Optional<StepId> refused = Optional.empty();
    for (Task task : ready) {
      if (refused.isPresent() && refused.get().equals(task.name.step())) {
        continue;
      }
      Optional<Worker> worker =
          noRoom.covers(task.spec, queue) && !placement.anywhere(job, queue)
              ? Optional.empty()
              : placement.choose(task, queue, workers.values(), now.mono());
      if (worker.isPresent()) {
        placeTask(task, worker.get());
      } else {
        noRoom.add(task.spec, queue);
        refused = Optional.of(task.name.step());
        all = false;
      }
    }
    if (all) {
      hungry.remove(job);
    }
    notePlaced(job, ready);
  }

  private void notePlaced(Job job, List<Task> ready) {
    List<Task> placed = ready.stream().filter(task -> task.phase == Task.Phase.PLACED).toList();
    if (!placed.isEmpty()) {
      String where =
          placed.stream()
              .map(t -> t.name.step().step() + "." + t.name.index() + "#" + t.run + "@" + t.worker)
              .collect(Collectors.joining(" "));
      int open = ready.size() - placed.size();
      note("job.placed", job.spec.id(), "table=" + table.version() + " left=" + open + " " + where);
    }
  }

  private void placeTask(Task task, Worker worker) {
    task.place(worker.info.id(), now.mono());
    worker.add(task);
    dirty.add(task.job);
    if (task.job.phase == JobPhase.QUEUED) {
      task.job.phase = JobPhase.RUNNING;
    }
  }

  // Saving

  private void save() {
    if (saving) {
      return;
    }
    Map<JobId, String> rows = new HashMap<>();
    List<Job> batch = dirty.stream().limit(timing.jobsPerSave()).toList();
    batch.forEach(job -> rows.put(job.spec.id(), ProgressText.write(job)));
    batch.forEach(dirty::remove);
    batch.stream()
        .flatMap(Job::tasks)
        .filter(t -> t.phase == Task.Phase.PLACED && t.order == Task.Order.UNSAVED)
        .forEach(savingStarts::add);
    if (dirty.isEmpty()) {
      workers.values().stream()
          .filter(worker -> worker.seenEnd > worker.acknowledgedEnd)
          .forEach(worker -> savingEnds.put(worker.info.id(), worker.seenEnd));
    }
    if (!rows.isEmpty()) {
      saving = true;
      out.add(new JobEffect.SaveProgress(rows, learnedIfDue()));
    } else if (!savingEnds.isEmpty()) {
      saved();
    }
  }

  private void restoreLearned(String text) {
    long skipped = learned.restore(text);
    if (skipped > 0) {
      note("learned.skipped", "lines", Long.toString(skipped));
    }
  }

  private String learnedIfDue() {
    if (now.mono() - learnedMillis < timing.learnedMillis()) {
      return "";
    }
    learnedMillis = now.mono();
    return learned.write();
  }

  private void saved() {
    saving = false;
    List<Task> starts = List.copyOf(savingStarts);
    final Map<WorkerId, Long> ends = Map.copyOf(savingEnds);
    savingStarts.clear();
    savingEnds.clear();
    starts.stream()
        .filter(t -> t.phase == Task.Phase.PLACED && t.order == Task.Order.UNSAVED)
        .forEach(this::start);
    ends.forEach((id, number) -> worker(id).ifPresent(worker -> acknowledge(worker, number)));
    jobs.values().removeIf(job -> job.phase.terminal() && !dirty.contains(job) && !job.onWorkers());
  }

  private void acknowledge(Worker worker, long number) {
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, number);
    look(worker, waitMillis(worker));
  }

  // Orders

  private void start(Task task) {
    Worker worker = workers.get(task.worker);
    if (!worker.usable(now.mono())) {
      release(task);
      return;
    }
    order(worker, task);
    if (!worker.looking) {
      look(worker, waitMillis(worker));
    }
  }

  private void order(Worker worker, Task task) {
    task.order = Task.Order.SENT;
    out.add(
        new JobEffect.StartRun(
            worker.info.id(),
            worker.info.address(),
            task.key(),
            task.job.spec.payload(),
            worker.clock.leaseEnd(now.mono(), timing.taskLeaseMillis()),
            task.checkpoint));
  }

  private void stop(Worker worker, RunKey run) {
    Long last = worker.stopsSent.get(run);
    if (worker.info.reachable()
        && (last == null || now.mono() - last >= timing.stopAgainMillis())) {
      worker.stopsSent.put(run, now.mono());
      out.add(new JobEffect.StopRun(worker.info.id(), worker.info.address(), run));
    }
  }

  private void startEnded(JobEvent.StartEnded event) {
    Worker worker = workers.get(event.worker());
    Task task = find(event.run().task());
    if (worker == null || task == null || !task.runsAs(event.worker(), event.run().run())) {
      return;
    }
    task.uncertain |= !event.result().certain();
    if (event.result() != StartResult.STARTED) {
      note("start.refused", event.run(), event.worker() + " " + event.result());
    }
    switch (event.result()) {
      case STARTED, OLD -> confirm(task);
      case LATE, NOT_SENT, UNKNOWN -> task.order = Task.Order.RESEND;
      case NO_ROOM, NO_TICKET, UNHEALTHY, INVALID -> elsewhere(worker, task);
      case REBORN -> reborn(worker);
      case FENCED -> out.add(new JobEffect.StepDown("a worker has seen a newer leader"));
      default -> throw new IllegalStateException("no such result: " + event.result());
    }
  }

  /** Sends an unanswered order again: the worker takes an order for the same run as the same. */
  private void retry(Worker worker, Task task) {
    if (task.job.phase.terminal()) {
      withdraw(task);
    } else if (!worker.silent) {
      order(worker, task);
    } else if (!task.uncertain) {
      release(task);
    }
  }

  private void confirm(Task task) {
    if (!task.job.begun) {
      task.job.begun = true;
      out.add(new JobEffect.Begun(task.job.spec.id()));
    }
    task.order = Task.Order.CONFIRMED;
    task.confirmedMillis = now.mono();
  }

  private void elsewhere(Worker worker, Task task) {
    worker.avoidUntilMillis = now.mono() + timing.avoidMillis();
    if (task.uncertain) {
      // An earlier copy of this order may still be on its way and run later; the stop bars it.
      stop(worker, task.key());
    } else {
      release(task);
    }
  }

  private void stopEnded(JobEvent.StopEnded event) {
    Worker worker = workers.get(event.worker());
    Task task = find(event.run().task());
    if (worker == null || !event.answered()) {
      return;
    }
    if (task != null && task.runsAs(event.worker(), event.run().run())) {
      confirm(task);
    }
    if (!worker.looking) {
      look(worker, 0);
    }
  }

  /**
   * Has the pace ordered again: a run thought to stand still could go on harming its neighbours.
   */
  private void paceLost(JobEvent.PaceLost event) {
    Task task = find(event.run().task());
    if (task != null && task.runsAs(event.worker(), event.run().run())) {
      task.pace = Task.INHERITED_PACE;
      worker(event.worker())
          .ifPresent(
              worker -> {
                worker.pacedMillis = 0;
                worker.changed();
              });
    }
  }

  // Workers

  private Optional<Worker> worker(WorkerId id) {
    return Optional.ofNullable(id).map(workers::get);
  }

  private void seen(WorkerInfo info) {
    livesAt(info).filter(other -> !other.registered).toList().forEach(this::reborn);
    Worker worker =
        workers.computeIfAbsent(info.id(), id -> new Worker(info, inheritedLapseMillis));
    worker.info = info;
    worker.registered = true;
    roomChanged = true;
    if (!worker.heard && !worker.looking) {
      look(worker, 0);
    }
  }

  private void unlisted(Worker worker) {
    worker.registered = false;
    if (livesAt(worker.info).anyMatch(other -> other.registered)) {
      reborn(worker);
    }
  }

  /**
   * Returns other workers at a worker's address. When one of them is registered, those that no
   * longer are have ended, with all that ran there: their leases need not be waited out.
   */
  private Stream<Worker> livesAt(WorkerInfo info) {
    return workers.values().stream()
        .filter(other -> other.info.reachable())
        .filter(other -> other.info.address().equals(info.address()))
        .filter(other -> !other.info.id().equals(info.id()));
  }

  private long waitMillis(Worker worker) {
    return worker.contended() ? timing.contendedWaitMillis() : timing.lookWaitMillis();
  }

  private void look(Worker worker, long waitMillis) {
    if (worker.looking || !worker.info.reachable()) {
      return;
    }
    worker.looking = true;
    worker.lookedMillis = now.mono();
    // A worker that does not answer may still receive this. Were its leases renewed as well, they
    // would never be sure to have ended, and its tasks would wait for it for ever.
    boolean renew = worker.clock.known() && !worker.silent;
    long leaseEnd = renew ? worker.clock.leaseEnd(now.mono(), timing.taskLeaseMillis()) : 0;
    out.add(
        new JobEffect.LookAtWorker(
            worker.info.id(), worker.info.address(), leaseEnd, worker.acknowledgedEnd, waitMillis));
  }

  private void silent(Worker worker) {
    worker.looking = false;
    if (!worker.silent) {
      note("worker.silent", worker.info.id(), "runs=" + worker.placed.size());
    }
    worker.silent = true;
  }

  private void reborn(Worker worker) {
    note("worker.reborn", worker.info.id(), "runs=" + worker.placed.size());
    List.copyOf(worker.placed.values()).forEach(this::release);
    workers.remove(worker.info.id());
  }

  private void reported(JobEvent.WorkerReported event) {
    Worker worker = workers.get(event.worker());
    if (worker == null) {
      return;
    }
    worker.looking = false;
    if (!worker.heard) {
      worker.heard(now.mono(), timing.taskLeaseMillis());
    }
    worker.silent = false;
    worker.clock.observe(event.report().clockMillis(), now.mono());
    event.report().ended().stream()
        .filter(ended -> ended.number() > worker.seenEnd)
        .forEach(ended -> ended(worker, ended));
    Set<RunKey> listed = new HashSet<>();
    event.report().running().forEach(running -> listed.add(running(worker, running)));
    missing(worker, listed, event.sentMillis());
    interference.learn(worker);
    pacing.adjust(worker, now.mono()).forEach(out::add);
    worker.changed();
    relocate(worker);
    abandonStalled(worker);
    roomChanged = true;
    boolean toAcknowledge = worker.seenEnd > worker.acknowledgedEnd;
    boolean busy = !worker.placed.isEmpty() || !worker.strays.isEmpty();
    if (busy && !toAcknowledge) {
      look(worker, waitMillis(worker));
    }
  }

  /**
   * Takes a task that fills away from tasks that it may not work beside. While other jobs wait
   * there is hardly ever a free place for it elsewhere; halted, it would wait for one behind jobs
   * that came later, and the whole job with it. Stopped, it waits with its job's urgency.
   */
  private void relocate(Worker worker) {
    pacing
        .stuck(worker, now.mono())
        .ifPresent(
            task -> {
              note("run.moved", task.key(), worker.info.id() + " pace=" + task.pace);
              stop(worker, task.key());
            });
  }

  /**
   * Stops runs that stand still. A worker may answer well while what runs there makes no progress:
   * the caller sees a job that never ends. The run resumes elsewhere from its checkpoint.
   */
  private void abandonStalled(Worker worker) {
    List<Task> stalled =
        worker.placed.values().stream()
            .filter(task -> task.order == Task.Order.CONFIRMED)
            .filter(task -> task.progress < Task.FULL_PROGRESS)
            .filter(task -> now.mono() - task.progressMillis > timing.stalledMillis())
            .toList();
    if (!stalled.isEmpty()) {
      worker.avoidUntilMillis = now.mono() + timing.stalledMillis();
    }
    stalled.forEach(
        task -> {
          note("run.stalled", task.key(), worker.info.id() + " at " + task.progress + "%");
          stop(worker, task.key());
        });
  }

  private RunKey running(Worker worker, WorkerReport.Running running) {
    RunKey key = new RunKey(running.task(), running.run());
    Task task = find(running.task());
    if (task == null || !task.runsAs(worker.info.id(), running.run())) {
      // A run that nobody wants still uses the worker, and it could end beside the wanted one.
      worker.addStray(key, task == null ? worker.info.capacity() : task.spec.reserved());
      stop(worker, key);
      return key;
    }
    confirm(task);
    task.checkpoint = running.checkpoint().isEmpty() ? task.checkpoint : running.checkpoint();
    if (task.progress != running.progress() || task.pace == 0) {
      task.progressMillis = now.mono();
    }
    task.progress = running.progress();
    task.load = running.load();
    if (task.job.phase.terminal()) {
      stop(worker, key);
    }
    return key;
  }

  private void ended(Worker worker, WorkerReport.Ended ended) {
    worker.seenEnd = ended.number();
    RunKey key = new RunKey(ended.task(), ended.run());
    worker.removeStray(key);
    worker.stopsSent.remove(key);
    Task task = find(ended.task());
    if (task == null) {
      return;
    }
    boolean inForce = task.runsAs(worker.info.id(), ended.run());
    boolean lateButDone = ended.how() == WorkerReport.End.DONE && task.phase == Task.Phase.WAITING;
    if (!inForce && !lateButDone) {
      return;
    }
    if (ended.how() == WorkerReport.End.DONE && task.wholeAtFullPace()) {
      estimates.learn(task.job.spec.queue(), task.spec, now.mono() - task.placedMillis);
    }
    release(task);
    if (ended.how() == WorkerReport.End.FAILED) {
      worker.failed(task.job.spec.id(), now.mono());
      task.failedOn.add(worker.info.id());
    }
    task.checkpoint = ended.checkpoint().isEmpty() ? task.checkpoint : ended.checkpoint();
    note("run.ended", key, worker.info.id() + " " + ended.how());
    if (task.spec.is(StepSpec.Trait.LASTS) || task.job.phase.terminal()) {
      return;
    }
    if (ended.how() == WorkerReport.End.DONE) {
      worker.succeeded();
      task.phase = Task.Phase.DONE;
      hungry.add(task.job);
      settle(task.job);
    } else if (ended.how() == WorkerReport.End.FAILED) {
      failed(task);
    }
  }

  private void failed(Task task) {
    task.failures++;
    if (task.failures >= table.current(task.job.spec.queue()).maxAttempts()) {
      end(task.job, JobPhase.FAILED);
    }
  }

  /** Releases tasks whose runs the worker, asked after it had confirmed them, does not have. */
  private void missing(Worker worker, Set<RunKey> listed, long sentMillis) {
    worker.placed.values().stream()
        .filter(task -> task.order == Task.Order.CONFIRMED)
        .filter(task -> sentMillis > task.confirmedMillis && !listed.contains(task.key()))
        .toList()
        .forEach(
            task -> {
              note("run.missing", task.key(), worker.info.id().value());
              release(task);
            });
    worker.strays.keySet().stream()
        .filter(run -> !listed.contains(run))
        .toList()
        .forEach(worker::removeStray);
  }

  private Task find(TaskName name) {
    Job job = jobs.get(name.job());
    return job == null || !job.has(name) ? null : job.task(name);
  }

  // Time

  private void tick() {
    timed.stream().filter(job -> job.advance(now.wall())).forEach(hungry::add);
    roomChanged = true;
    Collection<Worker> all = List.copyOf(workers.values());
    all.forEach(this::tick);
    if (now.mono() - startMillis > timing.settleMillis() && Reach.cutOff(all)) {
      out.add(new JobEffect.HandOver("cut off from most workers"));
    }
    if (now.mono() - notedMillis >= timing.noteLoadMillis()) {
      notedMillis = now.mono();
      note("leader.load", "workers", LoadText.of(workers.values(), jobs.values(), now.mono()));
    }
  }

  private void tick(Worker worker) {
    boolean outOfTouch = worker.silent || !worker.heard;
    if (outOfTouch && now.mono() > worker.lapsedMillis()) {
      lapsed(worker);
    }
    if (!worker.registered && worker.placed.isEmpty() && worker.strays.isEmpty()) {
      workers.remove(worker.info.id());
      return;
    }
    boolean idle = worker.placed.isEmpty() && !outOfTouch;
    long gap = idle ? timing.idleLookMillis() : timing.lookAgainMillis();
    if (!worker.looking && now.mono() - worker.lookedMillis >= gap) {
      look(worker, 0);
    }
    if (worker.info.draining() && !outOfTouch) {
      evacuate(worker);
    }
    worker.placed.values().stream()
        .filter(task -> task.order == Task.Order.RESEND)
        .toList()
        .forEach(task -> retry(worker, task));
    worker.placed.values().stream()
        .filter(task -> task.job.phase.terminal())
        .toList()
        .forEach(task -> stop(worker, task.key()));
  }

  /**
   * Moves a task that lasts off a worker that is about to leave. Were the leader to change just
   * after it left, the next one would wait out the leases of a worker that it never reached, and
   * the task would be away for 15 s. One at a time, and only when none waits already: a task that
   * finds no room elsewhere is better off where it is.
   */
  private void evacuate(Worker worker) {
    boolean oneWaits = hungry.stream().anyMatch(job -> job.spec.lasts() && job.begun);
    boolean oneStops = worker.placed.keySet().stream().anyMatch(worker.stopsSent::containsKey);
    if (oneWaits || oneStops) {
      return;
    }
    worker.placed.values().stream()
        .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
        .filter(task -> task.order == Task.Order.CONFIRMED && !task.job.phase.terminal())
        .filter(task -> roomFor(task).isPresent())
        .findFirst()
        .ifPresent(
            task -> {
              note("run.evacuated", task.key(), worker.info.id() + " drains");
              stop(worker, task.key());
            });
  }

  private Optional<Worker> roomFor(Task task) {
    JobQueue queue = table.current(task.job.spec.queue());
    return placement.choose(task, queue, workers.values(), now.mono());
  }

  private void lapsed(Worker worker) {
    if (worker.placed.isEmpty()) {
      return;
    }
    note("worker.lapsed", worker.info.id(), "runs=" + worker.placed.size());
    List.copyOf(worker.placed.values()).forEach(this::release);
  }

  private void note(String name, Object subject, String detail) {
    out.add(new JobEffect.Note(name, subject.toString(), detail));
  }
}
