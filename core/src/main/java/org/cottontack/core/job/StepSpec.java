package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job: equal tasks that may start once the steps before it are done.
 *
 * @param count number of tasks
 * @param need what each task needs
 * @param estimateMillis rough duration of a task
 * @param after numbers of the steps whose tasks must all be done first
 * @param traits what is true of the step
 * @param requiredLabel the label a worker must carry
 * @param rack the rack that holds the data; tasks run slower elsewhere
 * @param maxPerWorker most tasks of the step on one worker; 0 means no limit
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMillis bound on the tail of a serving task's response times; 0 means none
 * @param mayMiss how many tasks of a lasting step may be away at once through our own doing
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

  /** Properties that a step has or lacks. */
  public enum Trait {
    /** Tasks save their progress from time to time and resume from it. */
    CHECKPOINTS,
    /** All tasks work only together. */
    GANG,
    /** Tasks run slower when they are spread over several racks. */
    RACK_LOCAL,
    /** Parallel copies of a task are allowed; the first to finish counts. */
    SPECULATIVE,
    /** Tasks run until the job is cancelled, and are restarted however they end. */
    LASTS,
    /** Tasks use the processor time that others leave; their share reserves nothing. */
    FILLS
  }

  /** Keeps the lists immutable. */
  public StepSpec {
    after = List.copyOf(after);
    traits = List.copyOf(traits);
  }

  /** Returns the step in one short text, for logs. */
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

  /** Returns whether its tasks serve users of their own within a bound. */
  public boolean serves() {
    return targetMillis > 0;
  }

  /** Returns what a task reserves on its worker: a task that fills reserves no processor time. */
  public Resources reserved() {
    return is(Trait.FILLS) ? new Resources(0, need.memMb(), need.accelerators()) : need;
  }
}
