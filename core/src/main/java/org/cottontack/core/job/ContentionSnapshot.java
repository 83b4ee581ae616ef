package org.cottontack.core.job;

import java.util.List;

/**
 * The state of a worker that decides whether one more best-effort task may join it. It is cached
 * until something on the worker changes, because every waiting task is checked against every
 * worker.
 *
 * @param overBound whether the tail latency of a serving task is over its bound
 * @param leftoverCpu processor time that nothing uses, in thousandths of a core
 * @param tolerance share of the best-effort images that may run beside the least tolerant serving
 *     image there
 * @param neighbours the services there
 */
record ContentionSnapshot(
    boolean overBound, long leftoverCpu, double tolerance, List<Neighbour> neighbours) {

  /**
   * How far ahead headroom is checked for a placement, in milliseconds. Beyond that, pacing adapts
   * the runs to the load.
   */
  private static final long SOON_MILLIS = 200;

  private static final long LATER_MILLIS = 500;

  /** Effects on headroom below this are ignored, because reports differ by more. */
  static final double NEGLIGIBLE_EFFECT = 0.02;

  /**
   * A service on the worker.
   *
   * @param task one of its tasks
   * @param headroomTaken headroom that the best-effort tasks there take already
   * @param headroomAvailable headroom that may be taken, the lower of the values expected at {@link
   *     #SOON_MILLIS} and {@link #LATER_MILLIS} from now
   * @param unknownImagePresent whether an image runs there whose effect on the service no report
   *     has shown yet
   */
  record Neighbour(
      Task task, double headroomTaken, double headroomAvailable, boolean unknownImagePresent) {}

  static ContentionSnapshot of(Worker worker, Interference interference, long nowMillis) {
    return new ContentionSnapshot(
        worker.serving().anyMatch(serving -> serving.overSinceMillis > 0),
        worker.leftoverCpu(),
        worker.services().stream().mapToDouble(interference::tolerance).min().orElse(1),
        worker.services().stream()
            .map(task -> neighbour(worker, task, interference, nowMillis))
            .toList());
  }

  private static Neighbour neighbour(
      Worker worker, Task task, Interference interference, long nowMillis) {
    double headroomAvailable =
        Math.min(
            interference.availableHeadroom(task, nowMillis + SOON_MILLIS),
            interference.availableHeadroom(task, nowMillis + LATER_MILLIS));
    boolean unknownImagePresent =
        worker.bestEffort().anyMatch(other -> interference.unknown(task, other));
    return new Neighbour(
        task, interference.headroomTaken(worker, task), headroomAvailable, unknownImagePresent);
  }

  /**
   * Returns the headroom use of the worst-off service if a best-effort task joined: the headroom
   * taken as a share of the headroom available. A task with a negligible effect counts as no use.
   * Only one image of unknown effect may join at a time, because reports cannot show which of two
   * such images does the harm.
   */
  double headroomUseWith(Worker worker, Task added, Interference interference) {
    return neighbours.stream()
        .mapToDouble(n -> headroomUseOn(n, worker, added, interference))
        .max()
        .orElse(0);
  }

  private static double headroomUseOn(
      Neighbour neighbour, Worker worker, Task added, Interference interference) {
    boolean attributable =
        !neighbour.unknownImagePresent() || !interference.unknown(neighbour.task(), added);
    double effect = interference.effect(worker, neighbour.task(), added);
    return attributable ? headroomUse(neighbour, effect) : Double.MAX_VALUE;
  }

  private static double headroomUse(Neighbour neighbour, double effect) {
    if (effect < NEGLIGIBLE_EFFECT) {
      return 0;
    }
    return neighbour.headroomAvailable() <= 0
        ? Double.MAX_VALUE
        : (neighbour.headroomTaken() + effect) / neighbour.headroomAvailable();
  }
}
