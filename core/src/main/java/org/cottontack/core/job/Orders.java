package org.cottontack.core.job;

/**
 * Orders to workers and their answers. An order without an answer may be carried out later, after
 * newer ones, so a place counts as taken until a worker's lists say otherwise.
 */
final class Orders {

  /**
   * Least lease of a run that starts, in milliseconds: over the longest wait for the next look at
   * its worker, 2 s, and for a takeover after that.
   */
  private static final long LEAST_START_LEASE_MILLIS = 5_500;

  /** Least lease that is left where a look brings none, in milliseconds. */
  private static final long LEAST_LEFT_LEASE_MILLIS = 7_000;

  private final Term term;

  Orders(Term term) {
    this.term = term;
  }

  void withdraw(Task task) {
    Worker worker = term.workerOf(task);
    if (task.mayHaveBegun()) {
      stop(worker, task.key());
    } else {
      term.release(task);
    }
  }

  /** Sends a start, also again, when what the next leader has to know of it is stored. */
  void start(Task task) {
    Worker worker = term.workerOf(task);
    if (task.startInDoubt) {
      task.order = Task.Order.RESEND;
      retry(worker, task);
      return;
    }
    // Its capacity may have shrunk while the placement was stored.
    if (!worker.usable(term.now.mono()) || worker.shrunk()) {
      term.release(task);
      return;
    }
    order(worker, task);
    if (!worker.pollInFlight) {
      poll(worker, pollWaitMillis(worker));
    }
  }

  private void order(Worker worker, Task task) {
    task.shortLease |= worker.suppressedCompletions.appliesTo(task.spec) && !worker.renewsLeases();
    task.sent(term.now.mono());
    worker.lateLeases.startSent(task.key(), term.now.mono());
    term.effects.add(
        new JobEffect.StartRun(
            worker.target(),
            task.key(),
            task.job.spec.payload(),
            worker.clock.leaseEnd(startEnd(worker, task)),
            task.checkpoint));
  }

  /**
   * Returns until when, on our clock, a worker may carry out a start. While a look has given what
   * runs there a lease that lasts, the start needs to bring none, and ends as soon as by what is
   * known now nothing may begin: held on its way it would start work of a job that was cancelled.
   * Where none is known to be in force, so short a lease would end the run. That is what a run
   * needs whose end may not be listed: whatever becomes of other orders, it is not done.
   */
  private long startEnd(Worker worker, Task task) {
    if (task.shortLease) {
      return Math.min(
          term.now.mono() + SuppressedCompletions.SHORT_LEASE_MILLIS, term.startDeadlineMillis);
    }
    long lease = startLeaseEnd(worker);
    boolean held = worker.heldLeaseMillis() - term.now.mono() > LEAST_START_LEASE_MILLIS;
    return held ? Math.min(lease, term.startDeadlineMillis) : lease;
  }

  /**
   * Returns the end, on our clock, of the lease that a start brings: that of the last look, while
   * it lasts. Orders to a worker that is lost, sent before that is noticed, would otherwise put off
   * the end of its leases, and with it the return of all that ran there.
   */
  private long startLeaseEnd(Worker worker) {
    long given = worker.clock.lastLeaseEndMillis();
    return given - term.now.mono() > LEAST_START_LEASE_MILLIS ? given : term.grantEndMillis();
  }

  /**
   * Says once of each run that a worker has it though its job is known to be cancelled.
   *
   * @param how what showed it
   */
  void noteCancelled(Worker worker, Task task, String how) {
    if (task.job.phase == JobPhase.CANCELLED && !task.cancelLogged) {
      task.cancelLogged = true;
      long sent = task.sentMillis() == 0 ? 0 : term.now.mono() - task.sentMillis();
      term.logEvent(
          "run.cancelled", task.key(), worker.info.id() + " " + how + " sentMillis=" + sent);
    }
  }

  void stop(Worker worker, RunKey run) {
    Long last = worker.stopsSent.get(run);
    boolean due = last == null || term.now.mono() - last >= term.timing.stopAgainMillis();
    if (worker.info.reachable() && due) {
      worker.stopsSent.put(run, term.now.mono());
      term.effects.add(new JobEffect.StopRun(worker.target(), run));
    }
  }

  /**
   * Takes in the answer to a start.
   *
   * @return whether it says that the worker's life has ended
   */
  boolean startEnded(JobEvent.StartEnded event) {
    Worker worker = term.worker(event.worker()).orElse(null);
    Task task = term.find(event.run().task());
    if (worker != null) {
      worker.lateLeases.startAnswered(event.run(), event.result().certain());
    }
    if (task != null) {
      task.startEnded(event.worker(), event.run().run(), event.result().certain());
    }
    if (worker == null || task == null || !task.runsAs(event.worker(), event.run().run())) {
      return false;
    }
    if (!event.result().certain()) {
      task.unanswered();
    }
    if (event.result() != StartResult.STARTED) {
      term.logEvent("start.refused", event.run(), event.worker().worker() + " " + event.result());
    }
    if (event.result() == StartResult.STARTED) {
      noteCancelled(worker, task, "started");
      task.startAnswered();
    }
    term.recordIgnoredStart(task);
    task.began |= event.result() == StartResult.STARTED;
    if (task.began && worker.suppressedCompletions.appliesTo(task.spec)) {
      stop(worker, task.key());
    }
    switch (event.result()) {
      case STARTED, OLD -> confirm(task);
      case LATE -> late(worker, task);
      case NOT_SENT, UNKNOWN -> task.order = Task.Order.RESEND;
      case NO_ROOM, NO_TICKET, UNHEALTHY, INVALID -> elsewhere(worker, task);
      case FENCED -> fenced(worker);
      case REBORN -> {
        return true;
      }
      default -> throw new IllegalStateException("no such result: " + event.result());
    }
    return false;
  }

  /** Takes in that a worker has seen a higher fencing token than its present one. */
  void fenced(Worker worker) {
    worker.pollInFlight = false;
    term.effects.add(new JobEffect.StepDown("a worker has seen a newer leader"));
  }

  /**
   * Sends an unanswered order again: the worker takes an order for the same run as the same. Not
   * where its capacity has shrunk meanwhile, as what starts now would slow all that runs there, and
   * not where nothing may begin by now. Where the first may still be carried out by a later life,
   * this is stored before.
   */
  void retry(Worker worker, Task task) {
    if (task.obsolete() || worker.shrunk() || worker.closed()) {
      withdraw(task);
    } else if (!worker.silent && !task.duplicateStartPossible && task.pinned(term.now.mono())) {
      task.prepareResend();
      term.dirty.add(task.job);
    } else if (!worker.silent) {
      order(worker, task);
    } else if (!task.startInDoubt) {
      term.release(task);
    }
  }

  void confirm(Task task) {
    if (!task.job.begun) {
      task.job.begun = true;
      term.effects.add(new JobEffect.Begun(task.job.spec.id()));
    }
    task.order = Task.Order.CONFIRMED;
    task.confirmedMillis = term.now.mono();
  }

  /** A brief run goes elsewhere: where orders take longer than its lease it would never begin. */
  private void late(Worker worker, Task task) {
    if (task.shortLease) {
      worker.avoidUntilMillis = term.now.mono() + term.timing.avoidMillis();
      term.release(task);
    } else {
      task.order = Task.Order.RESEND;
    }
  }

  private void elsewhere(Worker worker, Task task) {
    worker.avoidUntilMillis = term.now.mono() + term.timing.avoidMillis();
    if (task.startInDoubt) {
      // An earlier copy of this order may still be on its way and run later; the stop bars it.
      stop(worker, task.key());
    } else {
      term.release(task);
    }
  }

  void stopEnded(JobEvent.StopEnded event) {
    Worker worker = term.worker(event.worker()).orElse(null);
    Task task = term.find(event.run().task());
    if (worker == null || !event.answered()) {
      return;
    }
    if (task != null && task.runsAs(event.worker(), event.run().run())) {
      task.recordRefusal();
    }
    // A stop that is answered again says nothing new. Counted as news each time, it would put off
    // for ever that a run which its worker no longer lists is missing.
    if (task != null
        && task.order != Task.Order.CONFIRMED
        && task.runsAs(event.worker(), event.run().run())) {
      confirm(task);
    }
    if (!worker.pollInFlight) {
      poll(worker, 0);
    }
  }

  /**
   * Has the pace ordered again: a run thought to stand still could go on harming its neighbours.
   */
  void paceLost(JobEvent.PaceLost event) {
    Task task = term.find(event.run().task());
    if (task != null && task.runsAs(event.worker(), event.run().run())) {
      task.pace = Task.INHERITED_PACE;
      term.worker(event.worker()).ifPresent(Worker::changed);
    }
  }

  void poll(Worker worker, long waitMillis) {
    if (worker.pollInFlight || !worker.info.reachable()) {
      return;
    }
    worker.pollInFlight = true;
    worker.lastPollMillis = term.now.mono();
    // Only a life that still lists such ends is told which ones are stored. Where it has crashed
    // unseen, the next life would drop its own ends with these numbers.
    boolean lists =
        worker.listsCompletions
            && worker.firstListedCompletion <= worker.lastAcknowledgedCompletion;
    boolean acknowledges = lists && !worker.silent;
    // Where the next life may get what names ends it gets no lease with it, and its runs can be
    // ended by the leases that their starts bring.
    boolean alone = acknowledges && worker.incarnation().identifierReusable();
    long leftMillis = worker.clock.lastLeaseEndMillis() - term.now.mono();
    boolean needed = !worker.placed.isEmpty() && worker.renewsLeases();
    boolean longer = term.grantEndMillis() > worker.clock.lastLeaseEndMillis();
    boolean leaseFirst = alone && needed && longer && leftMillis < LEAST_LEFT_LEASE_MILLIS;
    long leaseEnd = alone && !leaseFirst ? noLease(worker) : leaseEnd(worker);
    long acknowledged = acknowledges && !leaseFirst ? worker.lastAcknowledgedCompletion : 0;
    worker.acknowledgements.pollSent(acknowledged, term.now.mono());
    worker.lateLeases.pollSent(leaseEnd > 0, term.now.mono());
    term.effects.add(
        new JobEffect.LookAtWorker(
            worker.target(), leaseEnd, acknowledged, alone ? 0 : waitMillis));
  }

  /** Returns the end of the lease that a look brings, on the worker's clock; 0 for none. */
  private long leaseEnd(Worker worker) {
    // A worker that does not answer may still receive this. Were its leases renewed as well, they
    // would never be sure to have ended, and its tasks would wait for it for ever.
    boolean renew = worker.clock.known() && !worker.silent && worker.renewsLeases();
    long until = term.grantEndMillis();
    if (!renew || until <= term.now.mono()) {
      return noLease(worker);
    }
    worker.offeredLeaseMillis = until;
    return worker.clock.leaseEnd(until);
  }

  private static long noLease(Worker worker) {
    worker.offeredLeaseMillis = 0;
    return 0;
  }

  long pollWaitMillis(Worker worker) {
    return worker.contended()
        ? term.timing.contendedPollWaitMillis()
        : term.timing.pollWaitMillis();
  }
}
