package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;

/** Keeps track of the workers and handles those that leave or do not answer. */
final class Fleet {

  /**
   * Longest lease that a worker accepts regardless of what an order asks for, in milliseconds: 10 s
   * on a clock that is 2 % slow.
   */
  static final long MAX_LEASE_MILLIS = 10_300;

  /**
   * Time between polls of a worker with deferred acknowledgements, in milliseconds. The worker
   * answers such a poll at once, without waiting for a further completion.
   */
  private static final long DEFERRED_ACKNOWLEDGEMENT_POLL_MILLIS = 100;

  private final Term term;
  private final Orders orders;
  private final LostWorkers lostWorkers;
  private final CrashEvidence crashEvidence;
  private final DrainMoves drainMoves;
  private final WorkerHealth health;

  Fleet(
      Term term,
      Orders orders,
      LostWorkers lostWorkers,
      CrashEvidence crashEvidence,
      WorkerSelector workerSelector,
      WorkerHealth health) {
    this.term = term;
    this.orders = orders;
    this.lostWorkers = lostWorkers;
    this.crashEvidence = crashEvidence;
    this.drainMoves = new DrainMoves(term, orders, workerSelector);
    this.health = health;
  }

  void seen(WorkerInfo info) {
    Worker present = term.workers.get(info.id());
    if (present != null && present.supersedes(info.incarnation())) {
      // Start times may be wrong where clocks were set back. An answer shows which incarnation is
      // the current one.
      present.staleEntry = Optional.of(info);
      orders.poll(present, 0);
      return;
    }
    if (present != null && onlyColdTimeChanged(present, info)) {
      present.info = info;
      health.registered(present);
      return;
    }
    crashEvidence.listed(info);
    othersAtAddress(info)
        .filter(other -> !other.registered)
        .toList()
        .forEach(lostWorkers::replaced);
    Worker worker = workerFor(info);
    if (!worker.registered) {
      String detail = "address=%s draining=%s %s";
      term.logEvent(
          "worker.listed",
          info.id(),
          detail.formatted(info.address(), info.draining(), worker.answerDetails()));
    }
    worker.info = info;
    worker.staleEntry = Optional.empty();
    term.recordInheritedStrayLease(worker);
    worker.changed();
    worker.registered = true;
    health.registered(worker);
    term.capacityChanged = true;
    if (!worker.everAnswered && !worker.pollInFlight) {
      orders.poll(worker, 0);
    }
  }

  private static boolean onlyColdTimeChanged(Worker present, WorkerInfo info) {
    return present.registered
        && present.staleEntry.isEmpty()
        && present.info.coldLeftMillis() != info.coldLeftMillis()
        && present.info.sameButForColdTime(info);
  }

  /** Handles a change of the data centres that the operator evacuates. */
  void evacuated(Set<DataCentreId> dataCentres) {
    long now = term.now.mono();
    Set<DataCentreId> before = term.evacuations.all();
    dataCentres.stream()
        .filter(dataCentre -> !before.contains(dataCentre))
        .sorted()
        .forEach(
            dataCentre -> {
              term.evacuations.begin(dataCentre, now);
              logEvacuation("evacuation.seen", dataCentre, "");
            });
    before.stream()
        .filter(dataCentre -> !dataCentres.contains(dataCentre))
        .sorted()
        .forEach(
            dataCentre -> {
              long millis = term.evacuations.end(dataCentre, now);
              logEvacuation("evacuation.ended", dataCentre, " afterMillis=" + millis);
            });
    term.capacityChanged = true;
  }

  /** Logs what still runs in the data centres that are being evacuated. */
  void logEvacuations() {
    term.evacuations.all().stream()
        .sorted()
        .forEach(dataCentre -> logEvacuation("evacuation.left", dataCentre, ""));
  }

  private void logEvacuation(String event, DataCentreId dataCentre, String more) {
    term.logEvent(
        event, dataCentre, Evacuations.remaining(term.workers.values(), dataCentre) + more);
  }

  /**
   * Returns the worker for the incarnation that a registry entry describes, after adding or
   * replacing the worker if necessary.
   */
  private Worker workerFor(WorkerInfo info) {
    Worker known = term.workers.get(info.id());
    if (known == null) {
      return term.add(info, term.inheritedLeaseEndMillis(info.incarnation()));
    }
    // Of an unlisted worker, only the identifier and the runs placed on it are known.
    boolean same = !known.info.reachable() || known.incarnation().equals(info.incarnation());
    return same ? known : restarted(known, info);
  }

  /**
   * Replaces a worker by its next incarnation. The runs of the old one have ended, but an order in
   * flight may still reach the next one. Runs that were or may have been started are therefore kept
   * until the first answer of the next incarnation.
   */
  private Worker restarted(Worker before, WorkerInfo info) {
    long leaseEnd = leaseEndAfterRestart(before);
    Worker next = term.add(info, leaseEnd);
    List<Task> runs = List.copyOf(before.placed.values());
    runs.forEach(next::add);
    lostWorkers.restarted(before, next, runs, WorkerLoss.replaced(before), term.now.mono());
    return next;
  }

  /**
   * Returns until when the runs of a restarted worker are kept if its next incarnation does not
   * answer. Only a start in flight can begin one of them there, with a lease as long as any. If
   * there is none, the wait covers a registry entry that is wrong about the restart: the runs then
   * go on until their leases end.
   */
  private long leaseEndAfterRestart(Worker before) {
    long now = term.now.mono();
    boolean startInFlight =
        before.placed.values().stream().anyMatch(task -> task.startInFlight(now));
    return startInFlight
        ? Math.max(before.leasesEndedMillis(), now + MAX_LEASE_MILLIS)
        : before.lastLeaseEndMillis();
  }

  /**
   * Handles an answer from another incarnation of a worker. Answers may arrive out of order: an
   * answer of an earlier incarnation to a poll sent before the current one last answered counts as
   * no answer.
   */
  void otherIncarnationAnswered(Worker worker, long startTimeMillis, long sentMillis) {
    WorkerIncarnation incarnation = new WorkerIncarnation(worker.info.id(), startTimeMillis);
    boolean later = startTimeMillis > worker.incarnation().startTimeMillis();
    if (later || (worker.everAnswered && sentMillis >= worker.lastAnswerMillis)) {
      Optional<WorkerInfo> entry =
          worker.staleEntry.filter(info -> info.incarnation().equals(incarnation));
      orders.poll(restarted(worker, worker.info.withIncarnation(incarnation)), 0);
      entry.ifPresent(this::seen);
    } else {
      silent(worker);
    }
  }

  void unlisted(Worker worker) {
    worker.registered = false;
    worker.staleEntry = Optional.empty();
    if (othersAtAddress(worker.info).anyMatch(other -> other.registered)) {
      lostWorkers.replaced(worker);
    }
  }

  /**
   * Returns the other workers at a worker's address. Once one of them is registered, those that are
   * no longer registered have ended together with all their runs, so their leases need not be
   * waited out.
   */
  private Stream<Worker> othersAtAddress(WorkerInfo info) {
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
      worker.silent = true;
      term.lostContacts.add(worker, term.now.mono());
      health.unanswered(worker);
    }
  }

  void tick(Worker worker) {
    boolean unreachable = worker.silent || !worker.everAnswered;
    logLeaseWait(worker);
    if (unreachable && term.now.mono() > worker.leasesEndedMillis()) {
      lostWorkers.leasesExpired(worker);
    }
    if (!worker.registered && worker.placed.isEmpty() && worker.orphans.isEmpty()) {
      if (!WorkerLoss.left(worker)) {
        term.lostContacts.add(worker, term.now.mono());
      }
      term.forget(worker);
      return;
    }
    // A stop of a run that is no longer needed is resent only after a poll that lists the run. If
    // the worker counted as idle meanwhile, a run of a cancelled job would survive a lost stop by
    // seconds.
    boolean empty = worker.placed.isEmpty() && worker.orphans.isEmpty();
    boolean idle = empty && !worker.listsCompletions && !unreachable;
    long gap = idle ? term.timing.idlePollMillis() : term.timing.pollRetryMillis();
    // Withheld completions keep a poll from waiting for further ones as well, but for the rest of
    // the term, so frequent polls are limited to workers on which runs may end.
    boolean withholds = worker.deferredAcknowledgements.withheld(worker.lastSeenCompletion) > 0;
    boolean deferred =
        worker.deferredAcknowledgements.any(term.now.mono())
            || (withholds && !worker.placed.isEmpty());
    if (!unreachable && deferred) {
      gap = DEFERRED_ACKNOWLEDGEMENT_POLL_MILLIS;
    }
    if (!worker.pollInFlight && term.now.mono() - worker.lastPollMillis >= gap) {
      orders.poll(worker, 0);
    }
    if (worker.info.draining() && !unreachable) {
      drainMoves.move(worker);
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

  /**
   * Logs once how long the tasks of an unreachable worker have to wait for its leases to expire.
   */
  private void logLeaseWait(Worker worker) {
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
}
