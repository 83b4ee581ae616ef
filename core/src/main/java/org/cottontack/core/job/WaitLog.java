package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cottontack.core.id.WorkerId;

/**
 * Logs why long-running tasks that have run before do not run: once for each wait, and again when
 * its reason changes. It decides nothing.
 */
final class WaitLog {

  /** Time from which a wait is logged, in milliseconds. Usual moves and restarts are shorter. */
  private static final long MIN_WAIT_MILLIS = 1_000;

  /** Time between two checks, in milliseconds. */
  private static final long CHECK_MILLIS = 200;

  /** Maximum number of lines per second, which the loss of many workers would exceed. */
  private static final int MAX_LINES_PER_SECOND = 50;

  private static final long SECOND_MILLIS = 1_000;

  /** Why a task waits. */
  private enum Reason {
    /** Its worker does not answer; the leases there may still be in force. */
    LEASE_END("leaseEnd"),
    /** An earlier start may still be carried out. */
    PINNED("pinned"),
    /** A run of it that is not in force is on some worker. */
    ORPHAN("orphan"),
    /** No worker has room for it. */
    NO_ROOM("noRoom"),
    /** It may have crashed workers, and no worker without another such task has room for it. */
    SUSPECT("suspect"),
    /** There is room for it, but the last placement pass passed over it. */
    STEP_SKIPPED("stepSkipped"),
    /** Its placement is not stored. */
    UNSAVED("unsaved"),
    /** Its start is not sent, or will be sent again. */
    START_UNSENT("startUnsent"),
    /** Its start has no answer. */
    START_UNANSWERED("startUnanswered");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  /**
   * What a task waits for.
   *
   * @param reason why it waits
   * @param detail worker, time left and the source of that time, as far as they are known
   */
  private record Cause(Reason reason, String detail) {}

  /** A wait; it lasts until the task runs, over several runs that do not begin. */
  private static final class Wait {
    final long sinceMillis;
    long lookedMillis;
    Optional<Reason> logged = Optional.empty();

    Wait(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }
  }

  private final Term term;
  private final WorkerSelector workerSelector;
  private final Map<TaskName, Wait> waits = new HashMap<>();
  private long checkedMillis;
  private long secondMillis;
  private int lines;

  WaitLog(Term term, WorkerSelector workerSelector) {
    this.term = term;
    this.workerSelector = workerSelector;
  }

  /** Logs the waits that are due, at most some lines a second; the others follow later. */
  void tick() {
    long now = term.now.mono();
    if (now - checkedMillis < CHECK_MILLIS) {
      return;
    }
    checkedMillis = now;
    if (now - secondMillis >= SECOND_MILLIS) {
      secondMillis = now;
      lines = 0;
    }
    Map<TaskName, Task> waiting =
        term.jobs.values().stream()
            .filter(job -> job.mayHaveBegun() && job.spec.isLongRunning() && !job.phase.terminal())
            .flatMap(Job::tasks)
            .filter(this::waits)
            .collect(Collectors.toMap(task -> task.name, task -> task));
    waits.keySet().retainAll(waiting.keySet());
    waiting.keySet().forEach(name -> waits.computeIfAbsent(name, any -> new Wait(now)));
    log(waiting.values());
  }

  private boolean waits(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS)
        && task.run > 0
        && (task.phase == Task.Phase.WAITING
            || (task.phase == Task.Phase.PLACED
                && (task.order != Task.Order.CONFIRMED || unreachable(term.workerOf(task)))));
  }

  private static boolean unreachable(Worker worker) {
    return worker.silent || !worker.everAnswered;
  }

  private void log(Collection<Task> waiting) {
    long now = term.now.mono();
    Set<TaskName> orphans =
        term.workers.values().stream()
            .flatMap(worker -> worker.orphans.keySet().stream())
            .map(RunKey::task)
            .collect(Collectors.toSet());
    // The search for a worker is the expensive part, so each check looks at no more waits than it
    // may log, at those first that were not looked at for longest.
    waiting.stream()
        .filter(task -> now - waits.get(task.name).sinceMillis >= MIN_WAIT_MILLIS)
        .sorted(Comparator.comparingLong(task -> waits.get(task.name).lookedMillis))
        .limit(MAX_LINES_PER_SECOND - lines)
        .forEach(task -> log(task, waits.get(task.name), cause(task, orphans)));
  }

  private void log(Task task, Wait wait, Cause cause) {
    long now = term.now.mono();
    wait.lookedMillis = now;
    if (wait.logged.filter(cause.reason()::equals).isEmpty()) {
      wait.logged = Optional.of(cause.reason());
      lines++;
      String detail =
          "%s%s waitedMillis=%d"
              .formatted(cause.reason().text, cause.detail(), now - wait.sinceMillis);
      term.logEvent("task.waits", task.key(), detail);
    }
  }

  private Cause cause(Task task, Set<TaskName> orphans) {
    return task.phase == Task.Phase.PLACED ? causeWherePlaced(task) : causeOfWaiting(task, orphans);
  }

  private Cause causeWherePlaced(Task task) {
    Worker worker = term.workerOf(task);
    if (unreachable(worker)) {
      String detail =
          on(worker.info.id())
              + until(worker.leasesEndedMillis() - term.now.mono(), leaseSource(worker));
      return new Cause(Reason.LEASE_END, detail);
    }
    return new Cause(orderReason(task), on(worker.info.id()));
  }

  private static Reason orderReason(Task task) {
    if (task.startInDoubt || task.order == Task.Order.SENT) {
      return Reason.START_UNANSWERED;
    }
    return task.order == Task.Order.UNSAVED ? Reason.UNSAVED : Reason.START_UNSENT;
  }

  private Cause causeOfWaiting(Task task, Set<TaskName> orphans) {
    long now = term.now.mono();
    if (task.pinned(now)) {
      WorkerId worker = task.firstRefusing().orElseThrow().worker();
      long millis = task.pinnedForMillis(now).orElseThrow();
      return new Cause(Reason.PINNED, on(worker) + until(millis, "pin"));
    }
    if (orphans.contains(task.name)) {
      return term.workers.values().stream()
          .filter(worker -> hasOrphan(worker, task))
          .max(Comparator.comparingLong(Worker::leasesEndedMillis))
          .map(worker -> new Cause(Reason.ORPHAN, orphanDetail(worker)))
          .orElseThrow();
    }
    JobQueue queue = term.table.current(task.job.spec.queue());
    Optional<Worker> worker = workerSelector.choose(task, queue, term.workers.values(), now);
    return worker
        .map(free -> new Cause(Reason.STEP_SKIPPED, on(free.info.id())))
        .orElseGet(() -> new Cause(CrashBlame.suspect(task) ? Reason.SUSPECT : Reason.NO_ROOM, ""));
  }

  private static boolean hasOrphan(Worker worker, Task task) {
    return worker.orphans.keySet().stream().anyMatch(run -> run.task().equals(task.name));
  }

  /** Returns the worker of an orphan; it ends with its leases unless the worker answers. */
  private String orphanDetail(Worker worker) {
    String until =
        unreachable(worker)
            ? until(worker.leasesEndedMillis() - term.now.mono(), leaseSource(worker))
            : "";
    return on(worker.info.id()) + until;
  }

  private static String on(WorkerId worker) {
    return " worker=" + worker;
  }

  private static String until(long millis, String source) {
    return " untilMillis=%d source=%s".formatted(millis, source);
  }

  /** Returns where the end of a worker's leases is known from. */
  private String leaseSource(Worker worker) {
    long end = worker.lastLeaseEndMillis();
    if (end == worker.clock.lastLeaseEndMillis()) {
      return "granted";
    }
    if (end == term.inheritedLeaseEndMillis) {
      return "inherited";
    }
    boolean stored =
        term.leaseEnds.endMillis(worker.incarnation()).stream().anyMatch(other -> other == end);
    // An order meant for an earlier incarnation may have brought a lease.
    return stored ? "stored" : "restarted";
  }
}
