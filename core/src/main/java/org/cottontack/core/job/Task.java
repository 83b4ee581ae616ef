package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.id.WorkerId;

/** A task's progress; confined to {@link JobScheduler}. */
final class Task {

  /** Where a task stands. */
  enum Phase {
    /** Waits for a worker. */
    WAITING('w'),
    /** Has a worker; the run may or may not have begun. */
    PLACED('p'),
    /** Ended as done. */
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
   * The end of an earlier run, listed while the present one has its place.
   *
   * @param on the life that listed it
   * @param number its number there
   */
  record EarlierCompletion(WorkerIncarnation on, long number) {}

  /** A start that left for a life, and has no answer yet. */
  private record PendingStart(WorkerIncarnation to, int run, LateStart start) {}

  /** What is known about the start order of the present run. */
  enum Order {
    /** The placement, or that there may be copies, is not stored yet: the order may not leave. */
    UNSAVED,
    /** Sent, not answered yet. */
    SENT,
    /** Stored, but no order has a certain answer yet; it goes out again. */
    RESEND,
    /** The worker said that the run is there, or listed it. */
    CONFIRMED
  }

  /** Pace of a run at its start, in percent. */
  static final int FULL_PACE = 100;

  /** What a reported load covers, in milliseconds. */
  private static final long REPORT_MILLIS = 500;

  /** Paces below this are low, in percent. */
  static final int LOW_PACE = 50;

  /** Stands for a pace that another leader set: not full, so that full pace is ordered anew. */
  static final int INHERITED_PACE = 99;

  /** Progress of a run that is done, or of a lasting one that is at work, in percent. */
  static final int FULL_PROGRESS = 100;

  final TaskName name;
  final StepSpec spec;
  final Job job;
  Phase phase = Phase.WAITING;
  int run;
  int failures;

  /**
   * Workers that crashed while a run of this task was or may have been there; from the third on all
   * runs that were not done.
   */
  int crashes;

  /** How many of these crashes this task is the likeliest cause of. */
  int blamed;

  WorkerIncarnation worker;
  String checkpoint = "";
  Order order = Order.UNSAVED;
  long confirmedMillis;
  long placedMillis;

  /** When the worker last listed the present run; 0 if it never did. */
  long listedMillis;

  boolean startInDoubt;

  /**
   * Whether a copy of its start, or the start of an earlier run, may come after the present run has
   * begun. The next leader cannot tell from the worker, so it is stored before the start leaves.
   */
  boolean duplicateStartPossible;

  /** Whether it was said that the present run is on a worker though its job is cancelled. */
  boolean cancelLogged;

  private boolean sentByUs;
  private long sentMillis;

  /** When the last start of the present run was sent that got no answer. */
  private long unansweredMillis;

  /** When the last question or start was sent that its worker answered without having the run. */
  private long absentMillis;

  /** Whether its worker has said that the present run began. */
  boolean began;

  /** Whether the present run ends with its lease before it can be done. */
  boolean shortLease;

  private Optional<LateStart> lateStart = Optional.empty();

  /** The last start that left, until it is answered; its run may be over by then. */
  private Optional<PendingStart> pendingStart = Optional.empty();

  /** Ends of earlier runs that say it is done; they become final when the present run is over. */
  private final List<EarlierCompletion> earlierCompletions = new ArrayList<>();

  int progress;
  long progressMillis;
  final Set<WorkerIncarnation> failedOn = new HashSet<>();
  int pace = FULL_PACE;
  long pacedMillis;
  private double slowedMillis;

  private double slowedBeforeMillis;
  private double processedLoad;
  private long processedMillis;
  private long savedMillis;
  private double slowedWhenSavedMillis;

  long overSinceMillis;
  double load;
  double excess;

  Task(Job job, TaskName name, StepSpec spec) {
    this.job = job;
    this.name = name;
    this.spec = spec;
  }

  RunKey key() {
    return new RunKey(name, run);
  }

  /** Returns whether the present run is the first one and was never slowed. */
  boolean firstRunAtFullPace() {
    return phase == Phase.PLACED && run == 1 && pacedMillis == placedMillis && pace == FULL_PACE;
  }

  /** Returns whether this run on this worker is the one in force. */
  boolean runsAs(WorkerIncarnation on, int number) {
    return phase == Phase.PLACED && run == number && on.equals(worker);
  }

  /** Returns whether the present run may have begun: its order has left. */
  boolean mayHaveBegun() {
    return order == Order.SENT || order == Order.CONFIRMED || startInDoubt;
  }

  /** Takes in that its start leaves. */
  void sent(long nowMillis) {
    order = Order.SENT;
    sentByUs = true;
    sentMillis = nowMillis;
    pendingStart.ifPresent(other -> addLateStart(other.start(), nowMillis));
    lateStart = lateStart.filter(start -> !start.expired(nowMillis));
    pendingStart =
        Optional.of(worker)
            .filter(WorkerIncarnation::identifierReusable)
            .map(to -> new PendingStart(to, run, LateStart.sent(to, spec, nowMillis)));
  }

  /** Returns when its start left last, on our steady clock. */
  long sentMillis() {
    return sentMillis;
  }

  /** Takes in that its start got no answer, or that its worker ended before one came. */
  void unanswered() {
    startInDoubt = true;
    unansweredMillis = sentMillis;
    pendingStart.ifPresent(sent -> addLateStart(sent.start(), sentMillis));
    pendingStart = Optional.empty();
  }

  /** Takes in that its worker, asked at a time, does not list the present run. */
  void notListed(long polledMillis) {
    if (order != Order.CONFIRMED) {
      absentMillis = Math.max(absentMillis, polledMillis);
    }
  }

  /** Takes in that its worker has answered its last start, and may have begun the run only then. */
  void startAnswered() {
    absentMillis = Math.max(absentMillis, sentMillis);
  }

  /** Returns whether its worker left a start unanswered, and answered something sent later. */
  boolean startIgnored() {
    return startInDoubt && absentMillis > unansweredMillis;
  }

  /** Returns when the last start of the present run was sent that got no answer. */
  long unansweredMillis() {
    return unansweredMillis;
  }

  /** Takes in what became of a start, whether its run is still in force or not. */
  void startEnded(WorkerIncarnation on, int number, boolean certain) {
    Optional<PendingStart> sent =
        pendingStart.filter(other -> other.run() == number && other.to().equals(on));
    sent.filter(other -> !certain).ifPresent(other -> addLateStart(other.start(), sentMillis));
    pendingStart = sent.isPresent() ? Optional.empty() : pendingStart;
  }

  /** Returns what bars as much as all starts that may be on their way. */
  private Optional<LateStart> inFlightStart() {
    Optional<LateStart> start = pendingStart.map(PendingStart::start);
    return lateStart.map(other -> start.map(other::merge).orElse(other)).or(() -> start);
  }

  /** Takes in that a start of it may still be on its way. */
  void addLateStart(LateStart start, long nowMillis) {
    lateStart =
        lateStart
            .filter(other -> !other.expired(nowMillis))
            .map(start::merge)
            .or(() -> Optional.of(start));
  }

  /** Takes in that the present run has begun: what an earlier leader sent has arrived. */
  void recordRunFound() {
    if (!sentByUs && !duplicateStartPossible) {
      lateStart = Optional.empty();
    }
  }

  /** Takes in that its worker's present life has seen the present run end, or a stop of it. */
  void recordRefusal() {
    lateStart = lateStart.map(start -> start.refusedFrom(worker));
    pendingStart =
        pendingStart.map(
            sent -> new PendingStart(sent.to(), sent.run(), sent.start().refusedFrom(worker)));
  }

  /** Takes in that no start on its way can reach any life of its worker. */
  void clearLateStarts() {
    lateStart = Optional.empty();
    pendingStart = Optional.empty();
  }

  /** Returns the first life that refuses a start which may still be on its way. */
  Optional<WorkerIncarnation> firstRefusing() {
    return inFlightStart().map(LateStart::firstRefusing);
  }

  /** Returns whether a start on its way keeps it from all workers but one. */
  boolean pinned(long nowMillis) {
    return pinnedForMillis(nowMillis).isPresent();
  }

  /** Returns for how long a start on its way keeps it from all workers but one, if it does. */
  OptionalLong pinnedForMillis(long nowMillis) {
    return inFlightStart().stream()
        .mapToLong(start -> start.pinEndMillis(job.ignoredStarts) - nowMillis)
        .filter(millis -> millis > 0)
        .findFirst();
  }

  /** Returns whether a start which may still be on its way was sent to this worker. */
  boolean pinnedTo(WorkerId id) {
    return inFlightStart().filter(start -> start.firstRefusing().worker().equals(id)).isPresent();
  }

  /** Returns whether no start on its way could run beside a run on this life. */
  boolean mayStartOn(WorkerIncarnation incarnation, long nowMillis) {
    // On the only worker left it would use up its attempts, or be blamed for that one's crashes.
    boolean eligible = !failedOn.contains(incarnation) && !CrashBlame.suspect(this);
    return !pinned(nowMillis) || (eligible && inFlightStart().orElseThrow().refusedBy(incarnation));
  }

  /** Takes in that an earlier run was done: the present one is to end, however it does. */
  void addEarlierCompletion(EarlierCompletion completion) {
    earlierCompletions.add(completion);
  }

  /** Returns whether nobody wants the present run any more. */
  boolean obsolete() {
    return job.phase.terminal() || !earlierCompletions.isEmpty();
  }

  /** Takes in that a run did not crash its worker. */
  void forgetCrashes() {
    crashes = 0;
    blamed = 0;
  }

  /** Takes in that its start is to be sent again as soon as that is stored. */
  void prepareResend() {
    duplicateStartPossible = true;
    order = Order.UNSAVED;
  }

  void place(WorkerIncarnation on, long nowMillis) {
    duplicateStartPossible = pinned(nowMillis);
    if (!duplicateStartPossible) {
      // A start that was waited for no longer would be merged with the next, for another worker.
      clearLateStarts();
    }
    phase = Phase.PLACED;
    run++;
    worker = on;
    order = Order.UNSAVED;
    startInDoubt = false;
    cancelLogged = false;
    sentByUs = false;
    absentMillis = nowMillis;
    began = false;
    shortLease = false;
    placedMillis = nowMillis;
    listedMillis = 0;
    progress = 0;
    progressMillis = nowMillis;
    pace = FULL_PACE;
    pacedMillis = nowMillis;
    slowedMillis = 0;
    slowedBeforeMillis = 0;
    saved(checkpoint, nowMillis);
    overSinceMillis = 0;
    load = 0;
  }

  /**
   * Takes in that its worker has started again. Whether an order reached the next life, only
   * answers to looks at that one can tell, which are sent from the given time on.
   */
  void mayRunOn(WorkerIncarnation next, long sinceMillis) {
    worker = next;
    order = Order.CONFIRMED;
    confirmedMillis = sinceMillis - 1;
    began = false;
    shortLease = false;
    listedMillis = 0;
    cancelLogged = false;
  }

  /** Takes in that the run was ordered to another pace. */
  void paced(int percent, long nowMillis) {
    slowedMillis = slowedMillis(nowMillis);
    if (pace >= LOW_PACE) {
      slowedBeforeMillis = slowedMillis;
    }
    pace = percent;
    pacedMillis = nowMillis;
  }

  /**
   * Returns how much work the present run has missed by its paces, in milliseconds at full pace.
   */
  double slowedMillis(long nowMillis) {
    return slowedMillis + (nowMillis - pacedMillis) * (1 - pace / (double) FULL_PACE);
  }

  /**
   * Returns whether the load says anything new, and takes it as told. A worker is looked at
   * whenever a run there ends, some times in a row, and shows the same half second each time;
   * learned anew each time, rough reports counted for more than they tell.
   */
  boolean hasNewLoad(long nowMillis) {
    if (load == processedLoad && nowMillis - processedMillis < REPORT_MILLIS) {
      return false;
    }
    processedLoad = load;
    processedMillis = nowMillis;
    return true;
  }

  /** Takes in the state that the run would go on from elsewhere; empty for none. */
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
   * Takes it off its worker; it waits again unless an earlier run was done.
   *
   * @return ends that may be final now
   */
  List<EarlierCompletion> release() {
    List<EarlierCompletion> completions = List.copyOf(earlierCompletions);
    earlierCompletions.clear();
    phase = completions.isEmpty() ? Phase.WAITING : Phase.DONE;
    worker = null;
    return completions;
  }
}
