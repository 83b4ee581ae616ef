package org.cottontack.core.job;

import java.util.List;

/**
 * What decides whether one more task that fills may join a worker. It is kept until something on
 * the worker changes: each waiting task asks every worker.
 *
 * @param overBound whether a tail is over its bound
 * @param leftoverCpu processor time that nothing uses, in thousandths of a core
 * @param tolerance share of the images that may fill beside the least tolerant image there
 * @param neighbours the services there
 */
record ContentionSnapshot(
    boolean overBound, long leftoverCpu, double tolerance, List<Neighbour> neighbours) {

  /** How far ahead a place is judged, in milliseconds: later, paces follow the load. */
  private static final long SOON_MILLIS = 200;

  private static final long LATER_MILLIS = 500;

  /** Headroom taken that does not count: less than reports differ by. */
  static final double NEGLIGIBLE_EFFECT = 0.02;

  /**
   * A service on the worker.
   *
   * @param task one of its tasks
   * @param headroomUsed headroom that what fills there takes already
   * @param headroomAvailable headroom that may be taken now and in the next second
   * @param unknownImagePresent whether it shows first what an image there does to it
   */
  record Neighbour(
      Task task, double headroomUsed, double headroomAvailable, boolean unknownImagePresent) {}

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
        task, interference.headroomUse(worker, task), headroomAvailable, unknownImagePresent);
  }

  /**
   * Returns the strain on the worst-off service if a task that fills joined: the headroom taken as
   * a share of what may be taken. What takes next to nothing strains nothing. Of images that nobody
   * knows one at a time may join: of two, reports could not tell which one does the harm.
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
        : (neighbour.headroomUsed() + effect) / neighbour.headroomAvailable();
  }
}
