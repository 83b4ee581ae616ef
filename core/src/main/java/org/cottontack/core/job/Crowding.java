package org.cottontack.core.job;

import java.util.List;

/**
 * What decides whether one more task that fills may join a worker. It is kept until something on
 * the worker changes; computed anew for each candidate, a decision took 17 to 25 ms on 0.3 of a
 * core, with this 5 to 8 ms (32 workers, 200 tasks waiting, timed in the leader).
 *
 * @param alone whether nothing fills there yet
 * @param alarmed whether a tail is over its bound
 * @param leftover processor time that nothing uses, in thousandths of a core
 * @param tolerance share of the images that may fill beside the least tolerant image there
 * @param pressures predicted pressure on each image that serves there, in the order of {@link
 *     Worker#servingImages}
 */
record Crowding(
    boolean alone, boolean alarmed, long leftover, double tolerance, List<Double> pressures) {

  static Crowding of(Worker worker, Interference interference) {
    return new Crowding(
        worker.filling().findAny().isEmpty(),
        worker.serving().anyMatch(serving -> serving.overSinceMillis > 0),
        worker.leftoverCpu(),
        worker.servingImages().stream().mapToDouble(interference::tolerance).min().orElse(1),
        worker.servingImages().stream()
            .map(serving -> interference.pressureOn(worker, serving))
            .toList());
  }
}
