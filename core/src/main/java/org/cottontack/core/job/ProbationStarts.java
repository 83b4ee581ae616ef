package org.cottontack.core.job;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Spaces the starts of suspects. If several tasks that crash their workers were started together,
 * the crashes would look like the loss of a rack.
 */
final class ProbationStarts {

  /** Longest time between two such starts, in milliseconds: longer than a crash takes to show. */
  private static final long MAX_GAP_MILLIS = 300;

  /** Time within which all suspects that wait at a moment are started, in milliseconds. */
  private static final long SPREAD_MILLIS = 2_000;

  private final Set<Task> waiting = new LinkedHashSet<>();
  private long sentMillis = Long.MIN_VALUE / 2;

  /** Returns whether the start of a suspect may be sent now; it waits for its turn otherwise. */
  boolean mayStart(Task task, long nowMillis) {
    waiting.removeIf(other -> !waits(other));
    waiting.add(task);
    return nowMillis - sentMillis >= Math.min(MAX_GAP_MILLIS, SPREAD_MILLIS / waiting.size());
  }

  private static boolean waits(Task task) {
    return task.phase == Task.Phase.PLACED
        && task.order == Task.Order.RESEND
        && CrashBlame.suspect(task);
  }

  /** Records that the start of a suspect is sent. */
  void sent(Task task, long nowMillis) {
    waiting.remove(task);
    sentMillis = nowMillis;
  }
}
