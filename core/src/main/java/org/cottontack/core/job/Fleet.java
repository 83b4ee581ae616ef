package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;

/** Which workers there are, and what is done about those that leave or do not answer. */
final class Fleet {

  /**
   * Longest lease that a worker grants whatever an order says, in milliseconds: 10 s on a clock
   * that is 2 % slow.
   */
  static final long LONGEST_LEASE_MILLIS = 10_300;

  /** Time between looks at a worker that lists held ends: it waits for no further one. */
  private static final long HELD_LOOK_MILLIS = 100;

  private final Term term;
  private final Orders orders;
  private final LostWorkers lostWorkers;
  private final WorkerSelector workerSelector;

  Fleet(Term term, Orders orders, LostWorkers lostWorkers, WorkerSelector workerSelector) {
    this.term = term;
    this.orders = orders;
    this.lostWorkers = lostWorkers;
    this.workerSelector = workerSelector;
  }

  void seen(WorkerInfo info) {
    Worker present = term.workers.get(info.id());
    if (present != null && present.outlived(info.incarnation())) {
      // Births may be wrong where clocks were set back: an answer shows which life leads.
      present.staleEntry = Optional.of(info);
      orders.poll(present, 0);
      return;
    }
    livesAt(info).filter(other -> !other.registered).toList().forEach(lostWorkers::reborn);
    Worker worker = leading(info);
    if (!worker.registered) {
      String detail = "address=%s draining=%s %s";
      term.logEvent(
          "worker.listed",
          info.id(),
          detail.formatted(info.address(), info.draining(), worker.answers()));
    }
    worker.info = info;
    worker.staleEntry = Optional.empty();
    worker.changed();
    worker.registered = true;
    term.roomChanged = true;
    if (!worker.everAnswered && !worker.pollInFlight) {
      orders.poll(worker, 0);
    }
  }

  /** Takes in which data centres the operator empties. */
  void evacuated(Set<DataCentreId> dataCentres) {
    long now = term.now.mono();
    Set<DataCentreId> before = term.evacuations.all();
    dataCentres.stream()
        .filter(dataCentre -> !before.contains(dataCentre))
        .sorted()
        .forEach(
            dataCentre -> {
              term.evacuations.begin(dataCentre, now);
              noteEvacuation("evacuation.seen", dataCentre, "");
            });
    before.stream()
        .filter(dataCentre -> !dataCentres.contains(dataCentre))
        .sorted()
        .forEach(
            dataCentre -> {
              long millis = term.evacuations.end(dataCentre, now);
              noteEvacuation("evacuation.ended", dataCentre, " afterMillis=" + millis);
            });
    term.roomChanged = true;
  }

  /** Says what still runs in the data centres that are being emptied. */
  void noteEvacuations() {
    term.evacuations.all().stream()
        .sorted()
        .forEach(dataCentre -> noteEvacuation("evacuation.left", dataCentre, ""));
  }

  private void noteEvacuation(String event, DataCentreId dataCentre, String more) {
    term.logEvent(
        event, dataCentre, Evacuations.remaining(term.workers.values(), dataCentre) + more);
  }

  /** Returns the worker that leads the life which an entry speaks of. */
  private Worker leading(WorkerInfo info) {
    Worker known = term.workers.get(info.id());
    if (known == null) {
      return term.add(info, term.inheritedLeaseEndMillis);
    }
    // Of one that is not listed nothing is known but its identifier and what was placed there.
    boolean same = !known.info.reachable() || known.incarnation().equals(info.incarnation());
    return same ? known : restarted(known, info);
  }

  /**
   * Replaces a worker by its next life. What ran there has ended, but an order on its way may still
   * reach the next life, so what was or may have been started waits for that one's first answer.
   */
  private Worker restarted(Worker before, WorkerInfo info) {
    long lapse = Math.max(before.leasesEndedMillis(), term.now.mono() + LONGEST_LEASE_MILLIS);
    Worker next = term.add(info, lapse);
    List<Task> runs = List.copyOf(before.placed.values());
    runs.forEach(next::add);
    lostWorkers.restarted(next, runs, LostWorkers.left(before), term.now.mono());
    return next;
  }

  /**
   * Takes in that another life of a worker has answered. Answers may overtake each other: one of an
   * earlier life, asked before the present one was last heard, says nothing.
   */
  void answered(Worker asked, long bornMillis, long sentMillis) {
    WorkerIncarnation life = new WorkerIncarnation(asked.info.id(), bornMillis);
    boolean later = bornMillis > asked.incarnation().startTimeMillis();
    if (later || (asked.everAnswered && sentMillis >= asked.lastAnswerMillis)) {
      Optional<WorkerInfo> entry = asked.staleEntry.filter(info -> info.incarnation().equals(life));
      orders.poll(restarted(asked, asked.info.with(life)), 0);
      entry.ifPresent(this::seen);
    } else {
      silent(asked);
    }
  }

  void unlisted(Worker worker) {
    worker.registered = false;
    worker.staleEntry = Optional.empty();
    if (livesAt(worker.info).anyMatch(other -> other.registered)) {
      lostWorkers.reborn(worker);
    }
  }

  /**
   * Returns other workers at a worker's address. When one of them is registered, those that no
   * longer are have ended, with all that ran there: their leases need not be waited out.
   */
  private Stream<Worker> livesAt(WorkerInfo info) {
    return term.workers.values().stream()
        .filter(other -> other.info.reachable())
        .filter(other -> other.info.address().equals(info.address()))
        .filter(other -> !other.info.id().equals(info.id()));
  }

  void silent(Worker worker) {
    worker.pollInFlight = false;
    worker.acknowledgements.unanswered();
    worker.lateLeases.unanswered();
    if (!worker.silent) {
      term.logEvent("worker.silent", worker.info.id(), "runs=" + worker.placed.size());
    }
    worker.silent = true;
  }

  void tick(Worker worker) {
    boolean outOfTouch = worker.silent || !worker.everAnswered;
    noteWait(worker);
    if (outOfTouch && term.now.mono() > worker.leasesEndedMillis()) {
      lostWorkers.lapsed(worker);
    }
    if (!worker.registered && worker.placed.isEmpty() && worker.orphans.isEmpty()) {
      term.forget(worker);
      return;
    }
    // A stop of a run that nobody wants goes out again only after a look that shows the run. Were
    // the worker idle then, a cancelled job's run would outlive a lost stop by seconds.
    boolean empty = worker.placed.isEmpty() && worker.orphans.isEmpty();
    boolean idle = empty && !worker.listsCompletions && !outOfTouch;
    long gap = idle ? term.timing.idlePollMillis() : term.timing.pollRetryMillis();
    if (!outOfTouch && worker.deferredAcknowledgements.any(term.now.mono())) {
      gap = HELD_LOOK_MILLIS;
    }
    if (!worker.pollInFlight && term.now.mono() - worker.lastPollMillis >= gap) {
      orders.poll(worker, 0);
    }
    if (worker.info.draining() && !outOfTouch) {
      moveLasting(worker);
    }
    worker.placed.values().stream()
        .filter(task -> task.order == Task.Order.RESEND)
        .toList()
        .forEach(task -> orders.retry(worker, task));
    worker.placed.values().stream()
        .filter(Task::obsolete)
        .toList()
        .forEach(task -> orders.stop(worker, task.key()));
  }

  /** Says once how long the tasks of a worker out of touch have to wait for its leases to end. */
  private void noteWait(Worker worker) {
    if (worker.awaitsLeaseEnd() && !worker.leaseWaitLogged) {
      String detail =
          "runs=%d registered=%s leasesEndInMillis=%d"
              .formatted(
                  worker.placed.size(),
                  worker.registered,
                  worker.leasesEndedMillis() - term.now.mono());
      term.logEvent("worker.awaited", worker.info.id(), detail);
    }
    worker.leaseWaitLogged = worker.awaitsLeaseEnd();
  }

  /**
   * Moves a task that lasts off a worker that is about to leave. Were the leader to change just
   * after it left, the next one would wait out the leases of a worker that it never reached, and
   * the task would be away for 9 s. One at a time, and only when none waits already: a task that
   * finds no room elsewhere is better off where it is.
   */
  private void moveLasting(Worker worker) {
    boolean oneWaits =
        term.jobsToPlace.stream().anyMatch(job -> job.spec.isLongRunning() && job.begun);
    List<RunKey> stopping =
        worker.placed.keySet().stream().filter(worker.stopsSent::containsKey).toList();
    stopping.forEach(run -> orders.stop(worker, run));
    if (oneWaits || !stopping.isEmpty()) {
      return;
    }
    worker.placed.values().stream()
        .filter(task -> task.spec.is(StepSpec.Trait.LASTS))
        .filter(task -> task.order == Task.Order.CONFIRMED && !task.job.phase.terminal())
        .filter(task -> !task.pinned(term.now.mono()))
        .filter(task -> roomFor(task).isPresent())
        .findFirst()
        .ifPresent(
            task -> {
              term.logEvent("run.movedOff", task.key(), worker.info.id() + " drains");
              orders.stop(worker, task.key());
            });
  }

  private Optional<Worker> roomFor(Task task) {
    JobQueue queue = term.table.current(task.job.spec.queue());
    return workerSelector.choose(task, queue, term.workers.values(), term.now.mono());
  }
}
