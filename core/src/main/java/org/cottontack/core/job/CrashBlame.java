package org.cottontack.core.job;

import java.util.Collection;
import java.util.List;

/**
 * Decides whether a task is shown to crash its workers. One task may crash every worker that starts
 * it, at once or in the middle of its work, together with everything that runs there. Workers also
 * crash for other reasons, one at a time or a whole rack at once, and one that does not answer may
 * have been dead before a start was sent to it, or may be cut off and alive.
 *
 * <p>So a lost worker only makes a suspect of the tasks that may have run there. The runs of a
 * suspect are on probation: its start is sent only to a worker that has just answered and has no
 * other suspect. The crash of such a worker, unless others were lost with it, is evidence against
 * the suspect, and only evidence of several such crashes makes its job fail.
 */
final class CrashBlame {

  /**
   * Number of lost workers from which a task is a suspect. With a threshold of one, every task on a
   * rack that is lost would be one and wait for a worker without another suspect.
   */
  static final int SUSPECT_CRASHES = 2;

  /** Evidence of a crash that was very unlikely without the suspect, which alone has a past. */
  static final int STRONG_EVIDENCE = 3;

  /** Evidence of a crash that may have another cause. */
  static final int WEAK_EVIDENCE = 2;

  /** Evidence of a crash that may well have another cause. */
  static final int SLIGHT_EVIDENCE = 1;

  /**
   * Evidence that makes a job fail: a strong and a weak piece, or three weak ones. With the two
   * crashes that make a task a suspect, these are five starts at most, as the platform allows fewer
   * than three after the third crash.
   */
  private static final int PROOF = STRONG_EVIDENCE + WEAK_EVIDENCE;

  /** Probability of a loss for another reason up to which a crash may be strong evidence. */
  private static final double STRONG_PROBABILITY = 0.03;

  /** Probability of a loss for another reason up to which a crash is weak evidence. */
  private static final double WEAK_PROBABILITY = 0.06;

  /** Probability of a loss for another reason up to which a crash is evidence. */
  private static final double SLIGHT_PROBABILITY = 0.15;

  /**
   * Number of lost workers from which each further run of a task against which there is evidence
   * counts, unless it is done, because what the platform limits from the third crash on is starts.
   */
  private static final int LAST_RUNS_CRASHES = 3;

  /** Number of other workers lost at the same time from which a crash is less evidence. */
  private static final int FEW_WORKERS = 2;

  /** Number of other workers lost at the same time that show a common cause, such as a rack. */
  private static final int COMMON_CAUSE_WORKERS = 3;

  /**
   * Time for which a worker must have listed a run of a long-running task to clear it, in
   * milliseconds. Such a task runs on some worker all day and sees many workers crash for other
   * reasons.
   */
  private static final long CLEARED_MILLIS = 1_000;

  private CrashBlame() {}

  /** Records that the worker of these runs was lost and may have crashed. */
  static void lost(Collection<Task> runs) {
    possibleCauses(runs).forEach(task -> task.crashes++);
  }

  /**
   * Returns the evidence that the crash of a worker gives against a run there; 0 for none.
   *
   * @param task the task of the run
   * @param runs all runs that had been placed there
   * @param lossProbability how likely it would have been lost for another reason
   */
  static int evidence(Task task, Collection<Task> runs, double lossProbability) {
    List<Task> others = possibleCauses(runs).stream().filter(other -> !other.equals(task)).toList();
    boolean likeliest = others.stream().allMatch(other -> lessLikely(other, task));
    if (!task.probation
        || !mayBeCause(task)
        || task.startIgnored()
        || !likeliest
        || lossProbability > SLIGHT_PROBABILITY) {
      return 0;
    }
    boolean strong =
        others.stream().allMatch(other -> other.crashes == 0)
            && !task.inherited()
            && lossProbability <= STRONG_PROBABILITY;
    if (strong) {
      return STRONG_EVIDENCE;
    }
    return lossProbability <= WEAK_PROBABILITY ? WEAK_EVIDENCE : SLIGHT_EVIDENCE;
  }

  /**
   * Returns whether {@code other} is a less likely cause of a crash than {@code task}. A run that
   * was listed has survived for a while, so an unlisted run of a task with earlier crashes may be
   * the cause instead.
   */
  private static boolean lessLikely(Task other, Task task) {
    boolean moreLikely = listed(task) && !listed(other) && other.crashes > 0;
    return other.crashes < task.crashes && !moreLikely;
  }

  /**
   * Returns what remains of evidence where other workers were lost as well.
   *
   * @param evidence the evidence if no other worker was lost
   * @param lostTogether how many other workers may have been lost at the same time
   */
  static int reduced(int evidence, long lostTogether) {
    if (lostTogether < FEW_WORKERS) {
      return evidence;
    }
    boolean commonCause = lostTogether >= COMMON_CAUSE_WORKERS;
    return evidence == STRONG_EVIDENCE && !commonCause ? WEAK_EVIDENCE : 0;
  }

  /** Returns the evidence to store. What has not been reviewed is no proof for the next leader. */
  static int stored(Task task) {
    return Math.min(task.blamed, PROOF - 1);
  }

  /** Records that a run ended by itself, without being done and without a known crash. */
  static void endedUndone(Task task) {
    if (task.crashes >= LAST_RUNS_CRASHES && task.blamed > 0) {
      task.crashes++;
      task.blamed += WEAK_EVIDENCE;
    }
  }

  /** Returns whether a run of a long-running task has shown that it does not crash its worker. */
  static boolean cleared(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS)
        && task.listedMillis - Math.max(task.observedMillis, task.beganMillis) >= CLEARED_MILLIS;
  }

  /** Returns whether a task may run only where there is no other suspect. */
  static boolean suspect(Task task) {
    return task.crashes >= SUSPECT_CRASHES;
  }

  /** Returns whether the evidence shows that a task crashes its workers. */
  static boolean proven(Task task) {
    return task.blamed >= PROOF;
  }

  /** Returns the tasks among those of a lost worker whose runs may have crashed it. */
  static List<Task> possibleCauses(Collection<Task> runs) {
    return runs.stream().filter(CrashBlame::mayBeCause).toList();
  }

  private static boolean mayBeCause(Task task) {
    return task.mayHaveBegun() && !cleared(task);
  }

  private static boolean listed(Task task) {
    return task.listedMillis > 0;
  }
}
