package org.cottontack.core.task;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The phases of a task in its record. Each change of phase is one conditional write. */
public enum TaskPhase {
  /** Waits for a worker, for the first time or after it was evicted or lost. */
  QUEUED(false),
  /** Is assigned to one worker, for one attempt. */
  PLACED(false),
  /** Ran to completion. */
  FINISHED(true),
  /** Failed on the maximum number of workers. */
  FAILED(true),
  /** Was cancelled before it finished. */
  CANCELLED(true),
  /** Is larger than every worker. */
  NEVER_RUNNABLE(true),
  /**
   * Must not run twice and may have run to completion on a worker that fell silent or does not list
   * it.
   */
  IN_DOUBT(true);

  private final boolean ended;

  TaskPhase(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the task will never run again. */
  public boolean ended() {
    return ended;
  }

  /** Returns whether a task may change from this phase to another. */
  public boolean mayBecome(TaskPhase next) {
    return successors().contains(next);
  }

  private Set<TaskPhase> successors() {
    return switch (this) {
      case QUEUED -> EnumSet.of(PLACED, CANCELLED, NEVER_RUNNABLE);
      case PLACED -> EnumSet.of(PLACED, QUEUED, FINISHED, FAILED, CANCELLED, IN_DOUBT);
      case FINISHED, FAILED, CANCELLED, NEVER_RUNNABLE, IN_DOUBT -> EnumSet.noneOf(TaskPhase.class);
    };
  }

  /** Returns the name of this phase for callers and operators. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the phase with a name that callers and operators use. */
  public static Optional<TaskPhase> forWord(String word) {
    return Stream.of(values()).filter(phase -> phase.word().equals(word)).findFirst();
  }
}
