package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job: equal tasks that may start once the preceding steps are done.
 *
 * @param count number of tasks
 * @param need the resources that each task needs
 * @param estimateMillis rough duration of a task, in milliseconds
 * @param after numbers of the steps whose tasks must all be done first
 * @param traits properties of the step
 * @param requiredLabel label that a worker must have
 * @param rack rack that holds the data; tasks run slower elsewhere
 * @param maxPerWorker maximum number of the step's tasks on one worker; 0 means no limit
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMillis bound on the tail latency of a serving task, in milliseconds; 0 means none
 * @param mayMiss how many tasks of a long-running step may be absent at once through the
 *     scheduler's own decisions
 */
public record StepSpec(
    int count,
    Resources need,
    long estimateMillis,
    List<Integer> after,
    List<Trait> traits,
    Optional<String> requiredLabel,
    Optional<String> rack,
    int maxPerWorker,
    String image,
    double targetMillis,
    int mayMiss) {

  /** Properties that a step may have. */
  public enum Trait {
    /** Tasks save checkpoints from time to time and resume from the last one. */
    CHECKPOINTS,
    /** The tasks make progress only while all of them run. */
    GANG,
    /** Tasks run slower when they are spread over several racks. */
    RACK_LOCAL,
    /** Speculative copies of a task are allowed; the first one to finish counts. */
    SPECULATIVE,
    /**
     * Long-running: tasks run until the job is cancelled, and are restarted whatever their
     * completion status is.
     */
    LASTS,
    /** Best-effort: tasks use the processor time that other tasks leave idle, and reserve none. */
    FILLS
  }

  /** Keeps the lists immutable. */
  public StepSpec {
    after = List.copyOf(after);
    traits = List.copyOf(traits);
  }

  /** Returns a short description of the step, for logs. */
  String describe() {
    return "%dx%dmc/%dMB ~%dms after %s %s label=%s rack=%s apart=%d image=%s target=%s miss=%d"
        .formatted(
            count,
            need.cpuMillis(),
            need.memMb(),
            estimateMillis,
            after,
            traits,
            requiredLabel.orElse(""),
            rack.orElse(""),
            maxPerWorker,
            image,
            targetMillis,
            mayMiss);
  }

  /** Returns whether the step has a property. */
  public boolean is(Trait trait) {
    return traits.contains(trait);
  }

  /** Returns whether its tasks are serving tasks: they answer requests within a latency bound. */
  public boolean serves() {
    return targetMillis > 0;
  }

  /** Returns what a task reserves on its worker. A best-effort task reserves no processor time. */
  public Resources reserved() {
    return is(Trait.FILLS) ? new Resources(0, need.memMb(), need.accelerators()) : need;
  }
}
