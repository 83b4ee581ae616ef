package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.id.WorkerId;

/** State of one task; confined to {@link JobScheduler}. */
final class Task {

  /** Phase of a task. */
  enum Phase {
    /** Waits for a worker. */
    WAITING('w'),
    /** Has a worker; the run may not have begun yet. */
    PLACED('p'),
    /** Done. */
    DONE('d');

    private final char code;

    Phase(char code) {
      this.code = code;
    }

    char code() {
      return code;
    }

    static Phase of(char code) {
      for (Phase phase : values()) {
        if (phase.code == code) {
          return phase;
        }
      }
      throw new IllegalArgumentException("no task phase has the letter " + code);
    }
  }

  /**
   * Completion of an earlier run that was listed while a later run is placed.
   *
   * @param on the incarnation that listed it
   * @param number its number on that incarnation
   */
  record EarlierCompletion(WorkerIncarnation on, long number) {}

  /** A start that was sent to an incarnation and has no answer yet. */
  private record PendingStart(WorkerIncarnation to, int run, LateStart start) {}

  /** State of the start order of the present run. */
  enum Order {
    /**
     * The placement, or the flag that a duplicate start is possible, is not stored yet: the order
     * must not be sent.
     */
    UNSAVED,
    /** Sent, not answered yet. */
    SENT,
    /** Stored, but no order got a definite answer yet; it is sent again. */
    RESEND,
    /** The worker confirmed the start or listed the run. */
    CONFIRMED
  }

  /**
   * Pace of a run at its start, in percent. The pace is the share of full speed that a run may use.
   */
  static final int FULL_PACE = 100;

  /** Period that a reported load covers, in milliseconds. */
  private static final long REPORT_MILLIS = 500;

  /** Paces below this are low, in percent. */
  static final int LOW_PACE = 50;

  /**
   * Placeholder for a pace that another leader set. It is below full pace, so that full pace is
   * ordered again.
   */
  static final int INHERITED_PACE = 99;

  /** Progress of a run that is done, or of a long-running one that is running, in percent. */
  static final int FULL_PROGRESS = 100;

  final TaskName name;
  final StepSpec spec;
  final Job job;
  Phase phase = Phase.WAITING;
  int run;
  int failures;

  /** Number of workers that were lost, and may have crashed, while a run may have been there. */
  int crashes;

  /** Evidence that this task crashes its workers, in units of {@link CrashBlame}. */
  int blamed;

  /**
   * Whether the present run is on probation: its task was a suspect when its start was sent, and
   * its worker had just answered.
   */
  boolean probation;

  WorkerIncarnation worker;
  String checkpoint = "";
  Order order = Order.UNSAVED;
  long confirmedMillis;

  /** When the worker confirmed the start of the present run or first listed it; 0 before. */
  long beganMillis;

  long placedMillis;

  /** Since when this leader observes the present run, which an earlier one may have placed. */
  long observedMillis;

  /** When the worker last listed the present run; 0 if it never did. */
  long listedMillis;

  boolean startInDoubt;

  /**
   * Whether a duplicate of its start, or the start of an earlier run, may arrive after the present
   * run has begun. The worker cannot report this to the next leader, so it is stored before the
   * start is sent.
   */
  boolean duplicateStartPossible;

  /**
   * Whether an order that was meant for an earlier incarnation of its worker may have granted the
   * present run a lease that outlasts those of its leader. It is stored for the next leader.
   */
  boolean strayLeasePossible;

  /** Whether it was logged that the present run is on a worker although its job is cancelled. */
  boolean cancelLogged;

  private boolean sentByUs;

  /** The run that was read from the store; 0 if none was. */
  private int restoredRun;

  private long sentMillis;

  /** Number of times that this leader has sent the start of the present run. */
  private int startsSent;

  /** When the last start of the present run that got no answer was sent. */
  private long unansweredMillis;

  /** When the last poll or start was sent that its worker answered without having the run. */
  private long absentMillis;

  /** Whether its worker has reported that the present run began. */
  boolean began;

  /** Whether the present run has a short lease, which ends before the run can be done. */
  boolean shortLease;

  private Optional<LateStart> lateStart = Optional.empty();

  /** The last start that was sent, until it is answered; its run may be over by then. */
  private Optional<PendingStart> pendingStart = Optional.empty();

  /**
   * Completions of earlier runs with the status done. They become final when the present run is
   * over.
   */
  private final List<EarlierCompletion> earlierCompletions = new ArrayList<>();

  int progress;
  long progressMillis;
  final Set<WorkerIncarnation> failedOn = new HashSet<>();

  /** Runs whose failure this leader has counted. */
  private final Set<Integer> failedRuns = new HashSet<>(0);

  int pace = FULL_PACE;
  long pacedMillis;

  /** Work missed until {@link #pacedMillis}, in milliseconds at full pace. */
  private double slowedMillis;

  /** Value of {@link #slowedMillis} when the pace last became low. */
  private double slowedBeforeMillis;

  /** When the speed of the present run was last measured; 0 if it was not. */
  long measuredMillis;

  /** Progress at {@link #measuredMillis}, in percent. */
  int measuredProgress;

  /** Last measured speed relative to the expected duration; 0 if there is none. */
  double measuredSpeed;

  /** The worker on which the speed was measured. */
  Optional<WorkerId> measuredOn = Optional.empty();

  /** Whether a run of this task was already moved off a slow worker. */
  boolean movedOffSlowWorker;

  private double processedLoad;
  private long processedMillis;
  private long savedMillis;
  private double slowedWhenSavedMillis;

  /** When the tail of a serving task was first near or over its bound; 0 once it is well below. */
  long overSinceMillis;

  /**
   * Last reported tail latency of a serving task, in milliseconds; processor use of other tasks.
   */
  double load;

  /** Predicted less reported headroom of a serving task at its last report. */
  double headroomShortfall;

  Task(Job job, TaskName name, StepSpec spec) {
    this.job = job;
    this.name = name;
    this.spec = spec;
  }

  RunKey key() {
    return new RunKey(name, run);
  }

  /** Returns whether it is a long-running task that has run before, so that users miss it. */
  boolean isMissed() {
    return phase == Phase.WAITING && run > 0 && spec.is(StepSpec.Trait.LASTS);
  }

  /** Returns whether the present run is the first one and always had full pace. */
  boolean firstRunAtFullPace() {
    return phase == Phase.PLACED
        && run == 1
        && !inherited()
        && pacedMillis == placedMillis
        && pace == FULL_PACE;
  }

  /** Returns whether the task is placed as this run on this worker. */
  boolean runsAs(WorkerIncarnation on, int number) {
    return phase == Phase.PLACED && run == number && on.equals(worker);
  }

  /** Returns whether the present run may have begun: its order was sent. */
  boolean mayHaveBegun() {
    return order == Order.SENT || order == Order.CONFIRMED || startInDoubt;
  }

  /** Records that its start is sent. */
  void sent(long nowMillis) {
    order = Order.SENT;
    sentByUs = true;
    startsSent++;
    sentMillis = nowMillis;
    pendingStart.ifPresent(other -> addLateStart(other.start(), nowMillis));
    lateStart = lateStart.filter(start -> !start.expired(nowMillis));
    pendingStart =
        Optional.of(worker)
            .filter(WorkerIncarnation::identifierReusable)
            .map(to -> new PendingStart(to, run, LateStart.sent(to, spec, nowMillis)));
  }

  /** Records that the start which was sent last leaves only now. */
  void startLeft(long nowMillis) {
    long delayMillis = nowMillis - sentMillis;
    sentMillis = nowMillis;
    pendingStart =
        pendingStart.map(
            sent -> new PendingStart(sent.to(), sent.run(), sent.start().delayed(delayMillis)));
  }

  /** Records that the start which was sent last never left this process. */
  void startNotSent() {
    startsSent--;
  }

  /** Returns whether this leader has sent the start of the present run. */
  boolean sentByUs() {
    return sentByUs;
  }

  /** Records that the task was read from the store. */
  void recordRestored() {
    restoredRun = run;
  }

  /** Counts the failure of a run, which may be an earlier one. */
  void countFailure(int failed) {
    failures++;
    failedRuns.add(failed);
  }

  /**
   * Returns whether the failure of a run that is not in force is still to be counted. An end is
   * listed until it is acknowledged, and a run may fail on several incarnations of its worker. The
   * store does not tell which runs of earlier leaders are counted, so those count only while they
   * are in force.
   */
  boolean failureUncounted(int failed) {
    return failed > restoredRun && failed <= run && !failedRuns.contains(failed);
  }

  /** Returns whether the present run is known to be stored, so that its number is never reused. */
  boolean runStored() {
    return sentByUs || run == restoredRun;
  }

  /** Returns when its start was last sent, on our steady clock. */
  long sentMillis() {
    return sentMillis;
  }

  /** Records that its start got no answer, or that its worker ended before an answer came. */
  void unanswered() {
    startInDoubt = true;
    unansweredMillis = sentMillis;
    pendingStart.ifPresent(sent -> addLateStart(sent.start(), sentMillis));
    pendingStart = Optional.empty();
  }

  /** Records that its worker, polled at the given time, does not list the present run. */
  void notListed(long polledMillis) {
    if (order != Order.CONFIRMED) {
      absentMillis = Math.max(absentMillis, polledMillis);
    }
  }

  /** Records that its worker has answered its last start. The run may have begun only then. */
  void startAnswered() {
    absentMillis = Math.max(absentMillis, sentMillis);
  }

  /**
   * Returns whether its worker left a start unanswered but answered a message that was sent later.
   */
  boolean startIgnored() {
    return startInDoubt && absentMillis > unansweredMillis;
  }

  /** Returns when the last start of the present run that got no answer was sent. */
  long unansweredMillis() {
    return unansweredMillis;
  }

  /** Records the outcome of a start, whether its run is still in force or not. */
  void startEnded(WorkerIncarnation on, int number, boolean certain) {
    Optional<PendingStart> sent =
        pendingStart.filter(other -> other.run() == number && other.to().equals(on));
    sent.filter(other -> !certain).ifPresent(other -> addLateStart(other.start(), sentMillis));
    pendingStart = sent.isPresent() ? Optional.empty() : pendingStart;
  }

  /**
   * Returns one start that restricts placement as much as all starts that may be in flight
   * together.
   */
  private Optional<LateStart> inFlightStart() {
    Optional<LateStart> start = pendingStart.map(PendingStart::start);
    return lateStart.map(other -> start.map(other::merge).orElse(other)).or(() -> start);
  }

  /** Records that a start of this task may still be in flight. */
  void addLateStart(LateStart start, long nowMillis) {
    lateStart =
        lateStart
            .filter(other -> !other.expired(nowMillis))
            .map(start::merge)
            .or(() -> Optional.of(start));
  }

  /**
   * Records that the present run has begun, so the start that an earlier leader sent has arrived.
   */
  void recordRunFound() {
    if (!sentByUs && !duplicateStartPossible) {
      lateStart = Optional.empty();
    }
  }

  /**
   * Records that its worker has the present run, or has listed its end. If the start of that run
   * was sent only once, it has arrived, whether or not its answer does, and none is in flight.
   */
  void recordStartArrived() {
    if (startsSent == 1 && !inherited() && !duplicateStartPossible) {
      clearLateStarts();
    }
  }

  /**
   * Records that its worker's present incarnation has seen the present run end, or a stop for it.
   * That incarnation refuses the starts that may still be in flight.
   */
  void recordRefusal() {
    lateStart = lateStart.map(start -> start.refusedFrom(worker));
    pendingStart =
        pendingStart.map(
            sent -> new PendingStart(sent.to(), sent.run(), sent.start().refusedFrom(worker)));
  }

  /** Records that no start is in flight that an incarnation of its worker may carry out. */
  void clearLateStarts() {
    lateStart = Optional.empty();
    pendingStart = Optional.empty();
  }

  /** Returns the first incarnation that refuses a start which may still be in flight. */
  Optional<WorkerIncarnation> firstRefusing() {
    return inFlightStart().map(LateStart::firstRefusing);
  }

  /** Returns until when the starts that may be in flight restrict the task; empty if none is. */
  Optional<StartExpiry> startExpiry() {
    return inFlightStart()
        .map(start -> new StartExpiry(start.minPinEndMillis(), start.expiresMillis()));
  }

  /** Returns whether a start may still be in flight, whether or not it pins the task. */
  boolean startInFlight(long nowMillis) {
    return inFlightStart().filter(start -> !start.expired(nowMillis)).isPresent();
  }

  /** Returns whether a start in flight pins the task to one worker. */
  boolean pinned(long nowMillis) {
    return mayHaveStartInFlight() && pinnedForMillis(nowMillis).isPresent();
  }

  private boolean mayHaveStartInFlight() {
    return lateStart.isPresent() || pendingStart.isPresent();
  }

  /** Returns for how long a start in flight pins the task to one worker; empty if none does. */
  OptionalLong pinnedForMillis(long nowMillis) {
    return inFlightStart().stream()
        .mapToLong(start -> start.pinEndMillis(job.ignoredStarts) - nowMillis)
        .filter(millis -> millis > 0)
        .findFirst();
  }

  /** Returns whether a start that may still be in flight was sent to this worker. */
  boolean pinnedTo(WorkerId id) {
    return inFlightStart().filter(start -> start.firstRefusing().worker().equals(id)).isPresent();
  }

  /**
   * Returns whether a run may start on this incarnation without the risk that a start in flight
   * begins another run beside it.
   */
  boolean mayStartOn(WorkerIncarnation incarnation, long nowMillis) {
    if (!mayHaveStartInFlight()) {
      return true;
    }
    // A pinned task has only one worker left. If it failed there or is a crash suspect, it would
    // use up its attempts, or be blamed for that worker's crashes.
    boolean eligible = !failedOn.contains(incarnation) && !CrashBlame.suspect(this);
    return !pinned(nowMillis) || (eligible && inFlightStart().orElseThrow().refusedBy(incarnation));
  }

  /**
   * Records that an earlier run was done. The present run is no longer needed and is to end, with
   * whatever status.
   */
  void addEarlierCompletion(EarlierCompletion completion) {
    earlierCompletions.add(completion);
  }

  /** Returns whether the present run is no longer needed. */
  boolean obsolete() {
    return job.phase.terminal() || !earlierCompletions.isEmpty();
  }

  /** Records that an earlier leader has seen it done. Its run and its worker are not known. */
  void recordDone() {
    phase = Phase.DONE;
    run = 1;
    order = Order.CONFIRMED;
  }

  /** Records that a run did not crash its worker. */
  void forgetCrashes() {
    crashes = 0;
    blamed = 0;
  }

  /**
   * Records that the leases of its leader outlast those of earlier orders.
   *
   * @return whether this changes what is stored
   */
  boolean recordStrayLeaseOutlasted(long nowMillis) {
    if (!strayLeasePossible) {
      return false;
    }
    strayLeasePossible = false;
    duplicateStartPossible &= startInFlight(nowMillis);
    return true;
  }

  /** Records that its start is to be sent again as soon as the possible duplicate is stored. */
  void prepareResend() {
    duplicateStartPossible = true;
    order = Order.UNSAVED;
  }

  void place(WorkerIncarnation on, long nowMillis) {
    duplicateStartPossible = pinned(nowMillis);
    if (!duplicateStartPossible) {
      // An expired start would otherwise be merged with the next one, which is for another worker.
      clearLateStarts();
    }
    phase = Phase.PLACED;
    run++;
    worker = on;
    order = Order.UNSAVED;
    startInDoubt = false;
    cancelLogged = false;
    probation = false;
    sentByUs = false;
    startsSent = 0;
    absentMillis = nowMillis;
    began = false;
    beganMillis = 0;
    shortLease = false;
    placedMillis = nowMillis;
    observedMillis = nowMillis;
    listedMillis = 0;
    progress = 0;
    measuredMillis = 0;
    measuredSpeed = 0;
    progressMillis = nowMillis;
    pace = FULL_PACE;
    pacedMillis = nowMillis;
    slowedMillis = 0;
    slowedBeforeMillis = 0;
    saved(checkpoint, nowMillis);
    overSinceMillis = 0;
    load = 0;
  }

  /** Returns whether an earlier leader placed the present run. */
  boolean inherited() {
    return placedMillis != observedMillis;
  }

  /** Records that this leader takes over the present run, of whose past it knows nothing. */
  void inherit(long nowMillis) {
    observedMillis = nowMillis;
    progressMillis = nowMillis;
    probation = CrashBlame.suspect(this);
  }

  /**
   * Records that its worker has started again and that a start may have reached the next
   * incarnation. Only answers to polls of that incarnation, which are sent from the given time on,
   * show whether one did.
   */
  void mayRunOn(WorkerIncarnation next, long sinceMillis) {
    worker = next;
    order = Order.CONFIRMED;
    confirmedMillis = sinceMillis - 1;
    strayLeasePossible = true;
    probation = false;
    began = false;
    beganMillis = 0;
    measuredMillis = 0;
    shortLease = false;
    listedMillis = 0;
    cancelLogged = false;
  }

  /** Records that the run was ordered to another pace. */
  void paced(int percent, long nowMillis) {
    slowedMillis = slowedMillis(nowMillis);
    if (pace >= LOW_PACE) {
      slowedBeforeMillis = slowedMillis;
    }
    pace = percent;
    pacedMillis = nowMillis;
  }

  /**
   * Returns the work that the present run has missed because of its paces, in milliseconds at full
   * pace.
   */
  double slowedMillis(long nowMillis) {
    return slowedMillis + (nowMillis - pacedMillis) * (1 - pace / (double) FULL_PACE);
  }

  /**
   * Returns whether the load is new, and marks it as processed. A worker is polled whenever a run
   * there ends, which may be several times in a row, and reports the same half second each time. If
   * it were processed each time, imprecise reports would get too much weight.
   */
  boolean hasNewLoad(long nowMillis) {
    if (load == processedLoad && nowMillis - processedMillis < REPORT_MILLIS) {
      return false;
    }
    processedLoad = load;
    processedMillis = nowMillis;
    return true;
  }

  /** Records the checkpoint from which the run would continue elsewhere; empty for none. */
  void saved(String state, long nowMillis) {
    checkpoint = state;
    savedMillis = nowMillis;
    slowedWhenSavedMillis = slowedMillis(nowMillis);
  }

  /** Returns the work that has been missed since the pace became low, in milliseconds. */
  double missedMillis(long nowMillis) {
    return slowedMillis(nowMillis) - slowedBeforeMillis;
  }

  /** Returns the work that would be lost if the run ended now, in milliseconds. */
  double unsavedMillis(long nowMillis) {
    return nowMillis - savedMillis - (slowedMillis(nowMillis) - slowedWhenSavedMillis);
  }

  /**
   * Removes the task from its worker. It waits again unless an earlier run was done.
   *
   * @return completions of earlier runs, which may be final now
   */
  List<EarlierCompletion> release() {
    List<EarlierCompletion> completions = List.copyOf(earlierCompletions);
    earlierCompletions.clear();
    phase = completions.isEmpty() ? Phase.WAITING : Phase.DONE;
    worker = null;
    return completions;
  }
}
