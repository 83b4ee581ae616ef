package org.cottontack.core.job;

/**
 * How much work placement has done in a term, counted in operations. Unlike a duration, a count
 * does not depend on the speed of the processor.
 *
 * @param passes number of placement passes
 * @param searches number of searches for a worker, for any purpose
 * @param examined number of workers that these searches examined
 * @param placed number of tasks placed
 */
public record PlacementWork(long passes, long searches, long examined, long placed) {

  /** No work. */
  public static final PlacementWork NONE = new PlacementWork(0, 0, 0, 0);

  /** Returns the work done since an earlier count. */
  public PlacementWork since(PlacementWork earlier) {
    return new PlacementWork(
        passes - earlier.passes,
        searches - earlier.searches,
        examined - earlier.examined,
        placed - earlier.placed);
  }
}
