package org.cottontack.core.job;

import java.util.Optional;

/**
 * Sends orders to workers and handles their answers. An order without an answer may be carried out
 * later, even after newer orders, so the run counts as present on the worker until the worker's
 * reports show otherwise.
 */
final class Orders {

  /**
   * How long a suspect worker may wait before it answers a poll, in milliseconds: half of the
   * shortest wait of others, so that the progress of a trial run is known soon.
   */
  private static final long SUSPECT_POLL_WAIT_MILLIS = 250;

  /**
   * Minimum lease of a run that starts, in milliseconds. It covers the longest wait for the next
   * poll of its worker, 2 s, and a leader takeover after that.
   */
  private static final long MIN_START_LEASE_MILLIS = 5_500;

  /** Minimum remaining lease at which a poll may grant no lease, in milliseconds. */
  private static final long MIN_REMAINING_LEASE_MILLIS = 7_000;

  /**
   * Ratio of the time until the leases of a worker end to the longest wait of a poll that may not
   * extend them.
   */
  private static final long LIMITED_WAIT_DIVISOR = 4;

  /** Minimum of that wait, in milliseconds. */
  private static final long MIN_LIMITED_WAIT_MILLIS = 100;

  /**
   * How long a worker with a suspect task may wait before it answers a poll, in milliseconds. The
   * shorter it is, the better a crash is told from that of another worker.
   */
  private static final long PROBATION_POLL_WAIT_MILLIS = 100;

  /** For how long after the placement of a suspect its worker is polled that often. */
  private static final long PROBATION_POLL_MILLIS = 3_000;

  /**
   * Age of a worker's last answer up to which a suspect or a short-lease run may be started, in
   * milliseconds.
   */
  private static final long PROOF_OF_LIFE_MILLIS = 20;

  private final Term term;
  private final ProbationStarts probationStarts = new ProbationStarts();

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

  /**
   * Sends or resends a start. Called once the data that the next leader needs about it is stored.
   */
  void start(Task task) {
    Worker worker = term.workerOf(task);
    if (task.startInDoubt || worker.leaseLimited()) {
      task.order = Task.Order.RESEND;
      retry(worker, task);
      return;
    }
    // The worker's capacity may have shrunk while the placement was being stored.
    if (!worker.accepts(term.now.mono()) || worker.shrunk()) {
      term.release(task);
      return;
    }
    if (awaitsAnswer(worker, task)) {
      task.order = Task.Order.RESEND;
      poll(worker, 0);
      return;
    }
    sendStart(worker, task);
    if (!worker.pollInFlight) {
      poll(worker, pollWaitMillis(worker));
    }
  }

  private void sendStart(Worker worker, Task task) {
    task.shortLease |= startsWithShortLease(worker, task);
    task.sent(term.now.mono());
    task.probation = CrashBlame.suspect(task);
    if (task.probation) {
      probationStarts.sent(task, term.now.mono());
    }
    worker.lateLeases.startSent(task.key(), term.now.mono());
    term.effects.add(
        new JobEffect.StartRun(
            worker.target(),
            task.key(),
            task.job.spec.payload(),
            startDeadlineClock(worker, task),
            task.checkpoint,
            earliestClock(worker)));
  }

  private long earliestClock(Worker worker) {
    return worker.incarnation().identifierReusable()
        ? worker.clock.earliestClock(term.now.mono())
        : 0;
  }

  /** Returns until when, on a worker's clock, it may carry out a start. */
  private long startDeadlineClock(Worker worker, Task task) {
    long until = startDeadline(worker, task);
    return task.shortLease
        ? worker.clock.shortLeaseEnd(until, term.grantEndMillis(worker), term.renewedMillis())
        : worker.clock.leaseEnd(until, term.renewedMillis());
  }

  private static boolean startsWithShortLease(Worker worker, Task task) {
    return worker.suppressedCompletions.appliesTo(task.spec) && !worker.renewsLeases();
  }

  /**
   * Returns until when, on our clock, a worker may carry out a start.
   *
   * <p>Where polls have given the runs on the worker a lease that lasts long enough, the start does
   * not have to grant one. It then expires as soon as the leader's current state no longer permits
   * starts: a delayed start could otherwise begin work of a job that has been cancelled. Where no
   * lease is confirmed to be in force, a deadline that short would end the run.
   *
   * <p>A short-lease run always gets a deadline that short, because its completion may never be
   * listed: whatever happens to other orders, the run ends by it.
   */
  private long startDeadline(Worker worker, Task task) {
    if (task.shortLease) {
      long lease = worker.suppressedCompletions.shortLeaseMillis(task.spec);
      return Math.min(term.now.mono() + lease, term.startDeadlineMillis);
    }
    long lease = startLeaseEnd(worker);
    boolean leaseConfirmed =
        worker.confirmedLeaseEndMillis() - term.now.mono() > MIN_START_LEASE_MILLIS;
    return leaseConfirmed ? Math.min(lease, term.startDeadlineMillis) : lease;
  }

  /**
   * Returns the end, on our clock, of the lease that a start grants. This is the end of the lease
   * that the last poll granted while that lasts long enough. Otherwise, orders sent to a lost
   * worker before the loss is detected would delay the end of its leases, and with it the restart
   * of everything that ran there.
   */
  private long startLeaseEnd(Worker worker) {
    long given = worker.clock.lastLeaseEndMillis();
    boolean longEnough = given - term.now.mono() > MIN_START_LEASE_MILLIS;
    return longEnough && !worker.leaseLimited() ? given : term.grantEndMillis(worker);
  }

  /**
   * Logs, once per run, that a worker has a run although its job is known to be cancelled.
   *
   * @param evidence what showed that the worker has the run
   */
  void logCancelledRun(Worker worker, Task task, String evidence) {
    if (task.job.phase == JobPhase.CANCELLED && !task.cancelLogged) {
      task.cancelLogged = true;
      long sent = task.sentMillis() == 0 ? 0 : term.now.mono() - task.sentMillis();
      term.logEvent(
          "run.cancelled", task.key(), worker.info.id() + " " + evidence + " sentMillis=" + sent);
    }
  }

  void stop(Worker worker, RunKey run) {
    Long last = worker.stopsSent.get(run);
    boolean due = last == null || term.now.mono() - last >= term.timing.stopRetryMillis();
    if (worker.info.reachable() && due) {
      worker.stopsSent.put(run, term.now.mono());
      term.effects.add(new JobEffect.StopRun(worker.target(), run));
    }
  }

  /**
   * Handles the answer to a start.
   *
   * @return whether the answer says that the worker's incarnation has ended
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
    if (!event.result().certain()) {
      recordStrayLease(event);
    }
    if (task != null && event.result() == StartResult.STARTED) {
      recordBegun(task.job);
    }
    if (worker == null || task == null || !task.runsAs(event.worker(), event.run().run())) {
      return false;
    }
    if (!event.result().certain()) {
      task.unanswered();
    }
    if (event.result() == StartResult.NOT_SENT) {
      task.startNotSent();
    }
    if (event.result() != StartResult.STARTED) {
      term.logEvent("start.refused", event.run(), event.worker().worker() + " " + event.result());
    }
    if (event.result() == StartResult.STARTED) {
      logCancelledRun(worker, task, "started");
      task.startAnswered();
    }
    if (event.result() == StartResult.STARTED && task.shortLease) {
      worker.suppressedCompletions.startArrived();
    }
    term.recordIgnoredStart(task);
    task.began |= event.result() == StartResult.STARTED;
    if (task.began && worker.suppressedCompletions.appliesTo(task.spec)) {
      stop(worker, task.key());
    }
    switch (event.result()) {
      case STARTED, OLD -> confirm(task);
      case LATE -> handleLateStart(worker, task);
      case NOT_SENT, UNKNOWN -> resendUnlessListed(task);
      case TAKEN_BY_OTHER -> {
        resendUnlessListed(task);
        poll(worker, 0);
      }
      case NO_ROOM, NO_TICKET, UNHEALTHY, INVALID -> placeElsewhere(worker, task);
      case FENCED -> fenced(worker);
      case REBORN -> {
        task.order = Task.Order.RESEND;
        return true;
      }
      default -> throw new IllegalStateException("unknown start result: " + event.result());
    }
    return false;
  }

  /**
   * Records the lease that the present incarnation of a worker may have got from a start which was
   * meant for an earlier one. Once an incarnation has answered this leader, it refuses such starts.
   */
  private void recordStrayLease(JobEvent.StartEnded event) {
    Optional.ofNullable(term.workers.get(event.worker().worker()))
        .filter(
            worker ->
                event.result() == StartResult.TAKEN_BY_OTHER
                    || (!worker.everAnswered && !worker.incarnation().equals(event.worker())))
        .ifPresent(worker -> worker.recordStrayLease(term.now.mono()));
  }

  /** Handles that a worker has seen a higher fencing token than the leader's current one. */
  void fenced(Worker worker) {
    worker.pollInFlight = false;
    term.effects.add(new JobEffect.StepDown("a worker has seen a newer leader"));
  }

  /**
   * Resends an unanswered order; the worker treats orders for the same run as one. The order is
   * withdrawn instead if the worker's capacity has shrunk in the meantime, because a further start
   * would slow everything that runs there, or if the worker no longer accepts new runs. If the
   * first order may still be carried out by a later incarnation, this is stored before the resend.
   */
  void retry(Worker worker, Task task) {
    if (task.obsolete() || worker.shrunk() || worker.closed()) {
      withdraw(task);
    } else if (!worker.silent && worker.leaseLimited()) {
      // A start now would begin a run with little time left.
      return;
    } else if (!worker.silent && mayBeListedSoon(task)) {
      return;
    } else if (neverSent(task) && CrashBlame.suspect(task) && !worker.accepts(term.now.mono())) {
      term.release(task);
    } else if (!worker.silent && awaitsAnswer(worker, task)) {
      poll(worker, 0);
    } else if (!worker.silent && !task.duplicateStartPossible && task.pinned(term.now.mono())) {
      task.prepareResend();
      term.dirty.add(task.job);
    } else if (!worker.silent) {
      sendStart(worker, task);
    } else if (!task.startInDoubt) {
      term.release(task);
    }
  }

  /**
   * Returns whether the next report may show that a start without an answer has arrived. A second
   * start of a long-running task would pin it to its worker for seconds, so it is sent only once a
   * report shows that the first one has not arrived.
   */
  private static boolean mayBeListedSoon(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS) && task.startInDoubt && !task.startIgnored();
  }

  /**
   * Returns whether the start of a suspect waits, for an answer of its worker or for its turn. A
   * worker that was already dead would look as if the run had crashed it.
   */
  private boolean awaitsProbation(Worker worker, Task task) {
    return CrashBlame.suspect(task)
        && (isAnswerOld(worker) || !probationStarts.mayStart(task, term.now.mono()));
  }

  private boolean isAnswerOld(Worker worker) {
    return term.now.mono() - worker.lastAnswerMillis > PROOF_OF_LIFE_MILLIS;
  }

  /**
   * Returns whether a start waits for an answer of its worker. The estimate of a worker's clock
   * lags behind by 2 % of the time since its last answer, and a short lease would be over by that.
   */
  private boolean awaitsAnswer(Worker worker, Task task) {
    return awaitsProbation(worker, task)
        || (startsWithShortLease(worker, task) && isAnswerOld(worker));
  }

  private static boolean neverSent(Task task) {
    return !task.sentByUs() && !task.startInDoubt && !task.inherited();
  }

  /** Sends the starts that waited for an answer of their worker, which has come. */
  void retryAwaitingAnswer(Worker worker) {
    worker.placed.values().stream()
        .filter(task -> task.order == Task.Order.RESEND)
        .filter(task -> CrashBlame.suspect(task) || startsWithShortLease(worker, task))
        .toList()
        .forEach(task -> retry(worker, task));
  }

  /**
   * Records that a task of a job has started. Only a start that was carried out, and a run or an
   * end that is listed, show this: a worker also answers a stop, and refuses a start as old, where
   * no run has been.
   */
  void recordBegun(Job job) {
    if (!job.begun) {
      job.begun = true;
      term.effects.add(new JobEffect.Begun(job.spec.id()));
    }
  }

  /** Records that the order for a task's present run is answered; the run may be there or not. */
  void confirm(Task task) {
    task.order = Task.Order.CONFIRMED;
    task.confirmedMillis = term.now.mono();
    task.beganMillis = task.beganMillis == 0 ? term.now.mono() : task.beganMillis;
  }

  /** Sends a start again, unless a report has shown since that its run is on the worker. */
  private static void resendUnlessListed(Task task) {
    if (task.order != Task.Order.CONFIRMED || !task.began) {
      task.order = Task.Order.RESEND;
    }
  }

  /**
   * Starts a short-lease run again with a longer lease. Where orders take longer than the longest
   * one, it would never begin, so it is released to be placed on another worker.
   */
  private void handleLateStart(Worker worker, Task task) {
    if (task.shortLease && worker.suppressedCompletions.lengthenLease(task.spec)) {
      task.order = Task.Order.RESEND;
      retry(worker, task);
    } else if (task.shortLease) {
      worker.avoidUntilMillis = term.now.mono() + term.timing.avoidMillis();
      term.release(task);
    } else {
      task.order = Task.Order.RESEND;
    }
  }

  private void placeElsewhere(Worker worker, Task task) {
    worker.avoidUntilMillis = term.now.mono() + term.timing.avoidMillis();
    if (task.startInDoubt) {
      // An earlier duplicate of this order may still be in flight and begin the run later. The stop
      // prevents that.
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
    // A repeated answer to a stop carries no new information. If each one confirmed the run again,
    // a run that its worker no longer lists would never be reported as missing.
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
   * Orders the pace of a run again after the last order was lost. Otherwise a run that is assumed
   * to be halted could go on slowing its neighbours.
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
    // Stored completions are acknowledged only to an incarnation that still lists them. If it has
    // crashed unnoticed, the next incarnation would drop its own completions that have the same
    // numbers.
    boolean listsAcknowledged =
        worker.listsCompletions
            && worker.firstListedCompletion <= worker.lastAcknowledgedCompletion;
    boolean acknowledges = listsAcknowledged && !worker.silent;
    // If the next incarnation may receive the acknowledgement, the poll grants no lease along with
    // it. Runs of that incarnation can then be ended by the leases that their starts grant.
    // Where runs here soon need a longer lease, this poll grants it and the next one acknowledges.
    boolean ackOnly = acknowledges && worker.incarnation().identifierReusable();
    long leftMillis = worker.clock.lastLeaseEndMillis() - term.now.mono();
    boolean runsToKeep = !worker.placed.isEmpty() || worker.hasLeftAloneRun();
    boolean needed = runsToKeep && worker.renewsLeases();
    boolean longer = term.grantEndMillis(worker) > worker.clock.lastLeaseEndMillis();
    boolean leaseFirst = ackOnly && needed && longer && leftMillis < MIN_REMAINING_LEASE_MILLIS;
    long leaseEnd = ackOnly && !leaseFirst ? noLease(worker) : leaseEnd(worker);
    long acknowledged = acknowledges && !leaseFirst ? worker.lastAcknowledgedCompletion : 0;
    worker.acknowledgements.pollSent(acknowledged, term.now.mono());
    worker.lateLeases.pollSent(leaseEnd > 0, term.now.mono());
    worker.lastPollWaitMillis = ackOnly ? 0 : boundedWaitMillis(worker, waitMillis);
    term.effects.add(
        new JobEffect.LookAtWorker(
            worker.target(), leaseEnd, acknowledged, worker.lastPollWaitMillis));
  }

  /**
   * Returns how long a worker may wait before it answers a poll: for a part of the time until its
   * leases end, if this poll may not extend them but the next one perhaps may.
   */
  private long boundedWaitMillis(Worker worker, long waitMillis) {
    if (!worker.leaseLimited()) {
      return waitMillis;
    }
    long leftMillis = worker.lastLeaseEndMillis() - term.now.mono();
    long longest = Math.max(MIN_LIMITED_WAIT_MILLIS, leftMillis / LIMITED_WAIT_DIVISOR);
    return Math.min(waitMillis, longest);
  }

  /** Returns the end of the lease that a poll grants, on the worker's clock; 0 for none. */
  private long leaseEnd(Worker worker) {
    // A worker that does not answer may still receive this poll. If polls kept renewing its leases,
    // they would never be certain to have ended, and its tasks would wait for it indefinitely.
    boolean renew = worker.clock.known() && !worker.silent && worker.renewsLeases();
    long until = term.grantEndMillis(worker);
    if (!renew || until <= term.now.mono()) {
      return noLease(worker);
    }
    worker.offeredLeaseEndMillis = until;
    return worker.clock.leaseEnd(until, term.renewedMillis());
  }

  private static long noLease(Worker worker) {
    worker.offeredLeaseEndMillis = 0;
    return 0;
  }

  private boolean hasNewSuspect(Worker worker) {
    long since = term.now.mono() - PROBATION_POLL_MILLIS;
    return worker.placed.values().stream()
        .anyMatch(task -> CrashBlame.suspect(task) && task.placedMillis > since);
  }

  /** Returns how long a worker may wait before it answers a poll, in milliseconds. */
  long pollWaitMillis(Worker worker) {
    if (hasNewSuspect(worker)) {
      return PROBATION_POLL_WAIT_MILLIS;
    }
    if (worker.hasShortLeaseRun()) {
      // A suppressed completion ends no poll that waits for one.
      return worker.shortLeasePollWaitMillis(term.now.mono());
    }
    if (worker.rating.suspect()) {
      return SUSPECT_POLL_WAIT_MILLIS;
    }
    return worker.contended()
        ? term.timing.contendedPollWaitMillis()
        : term.timing.pollWaitMillis();
  }
}
