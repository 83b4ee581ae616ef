package org.cottontack.core.task;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The recorded life of a task. Each change is one conditional write. */
public enum TaskPhase {
  /** Waits for a worker, for the first time or after it was evicted or lost. */
  QUEUED(false),
  /** Belongs to one attempt on one worker. */
  PLACED(false),
  /** Ran to its end. */
  FINISHED(true),
  /** Failed on too many workers. */
  FAILED(true),
  /** Was cancelled before it finished. */
  CANCELLED(true),
  /** Fits no worker there is. */
  NEVER_RUNNABLE(true),
  /** May have run to its end on a worker that fell silent, and may not run twice. */
  IN_DOUBT(true);

  private final boolean ended;

  TaskPhase(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the task will never run again. */
  public boolean ended() {
    return ended;
  }

  /** Returns whether a task may pass from this phase to another. */
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

  /** Returns the word callers and operators see. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the phase for a word. */
  public static Optional<TaskPhase> forWord(String word) {
    return Stream.of(values()).filter(phase -> phase.word().equals(word)).findFirst();
  }
}
