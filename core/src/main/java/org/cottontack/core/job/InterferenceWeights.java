package org.cottontack.core.job;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * What is known of the images that fill beside one image that serves: by how much each lowers its
 * headroom for each share of the processors that it uses. The covariances of a Kalman filter make
 * blame fall on the image that is not yet known to be harmless.
 */
final class InterferenceWeights {

  /** Weight assumed for a pair never seen; most pairs have less than 1, harmful ones 6 to 20. */
  private static final double PRIOR = 3;

  /** Variance of weights between pairs. */
  private static final double PRIOR_VARIANCE = 36;

  /**
   * Variance that a well-known weight keeps, so that a change is followed within some 100 reports.
   */
  private static final double LEAST_VARIANCE = 0.5;

  /**
   * Least weight of a pair. What is always there looks like the service's own load; believed to be
   * harmless, eight such tasks together broke the bound.
   */
  private static final double LEAST_WEIGHT = 0.2;

  /** Standard deviation of an image's effect through the phases of its work, as a share of it. */
  private static final double PHASE_DEVIATION = 0.6;

  /** Weight up to which an image may fill beside another at most times. */
  private static final double MILD_WEIGHT = 2.5;

  /**
   * Images remembered; the one not heard of for longest makes room. Callers name images: without a
   * bound one that gives each job a new name would fill the memory and the row that is kept for the
   * next leader.
   */
  static final int MOST_IMAGES = 32;

  private final Map<String, Integer> index = new LruMap<>(MOST_IMAGES);
  private final double[] weights = new double[MOST_IMAGES];
  private final double[][] covariance = new double[MOST_IMAGES][MOST_IMAGES];

  private int indexOf(String image) {
    Integer at = index.get(image);
    return at == null ? add(image) : at;
  }

  private int add(String image) {
    Set<Integer> taken = new HashSet<>(index.values());
    Map.Entry<String, Integer> oldest = index.entrySet().stream().findFirst().orElse(null);
    int free =
        IntStream.range(0, MOST_IMAGES)
            .filter(slot -> !taken.contains(slot))
            .findFirst()
            .orElseGet(() -> oldest.getValue());
    weights[free] = PRIOR;
    for (int other = 0; other < MOST_IMAGES; other++) {
      covariance[free][other] = 0;
      covariance[other][free] = 0;
    }
    covariance[free][free] = PRIOR_VARIANCE;
    index.put(image, free);
    return free;
  }

  /** A mixture of images beside a task, as it was reported, with what it should do. */
  final class Mixture {
    private final int[] indexes;
    private final double[] shares;
    private final double[] gain;
    private final double headroomUse;
    private final double variance;
    private final double phaseVariance;

    private Mixture(Map<String, Double> shareByImage) {
      indexes =
          shareByImage.keySet().stream().mapToInt(InterferenceWeights.this::indexOf).toArray();
      shares = shareByImage.values().stream().mapToDouble(Double::doubleValue).toArray();
      gain = new double[index.values().stream().mapToInt(slot -> slot + 1).max().orElse(0)];
      double headroomSum = 0;
      double phaseVarianceSum = 0;
      for (int i = 0; i < indexes.length; i++) {
        headroomSum += weights[indexes[i]] * shares[i];
        phaseVarianceSum += Math.pow(PHASE_DEVIATION * weights[indexes[i]] * shares[i], 2);
        for (int row = 0; row < gain.length; row++) {
          gain[row] += covariance[row][indexes[i]] * shares[i];
        }
      }
      headroomUse = Math.max(0, headroomSum);
      phaseVariance = phaseVarianceSum;
      variance =
          IntStream.range(0, indexes.length).mapToDouble(i -> gain[indexes[i]] * shares[i]).sum();
    }

    /** Returns the headroom that the mixture takes. */
    double headroomUse() {
      return headroomUse;
    }

    /** Returns the variance of that. */
    double variance() {
      return variance;
    }

    /** Returns the variance that comes with the phases of the tasks' work. */
    double phaseVariance() {
      return phaseVariance;
    }

    /**
     * Takes in by how much more headroom was taken than that.
     *
     * @param variance of the difference, the mixture's own included
     */
    void correct(double difference, double variance) {
      for (int row = 0; row < gain.length; row++) {
        weights[row] = Math.max(LEAST_WEIGHT, weights[row] + gain[row] / variance * difference);
        for (int column = 0; column < gain.length; column++) {
          covariance[row][column] -= gain[row] * gain[column] / variance;
        }
      }
      for (int row = 0; row < gain.length; row++) {
        covariance[row][row] = Math.max(LEAST_VARIANCE, covariance[row][row]);
      }
    }
  }

  /** Returns what images with the given shares of the processors should do. */
  Mixture mixture(Map<String, Double> shares) {
    return new Mixture(shares);
  }

  /** Returns whether no report has told of an image yet. */
  boolean unknown(String image) {
    Integer at = index.get(image);
    return at == null || covariance[at][at] >= PRIOR_VARIANCE;
  }

  /** Returns the probable weight of an image. */
  double weight(String image) {
    Integer at = index.get(image);
    return at == null ? PRIOR : Math.max(0, weights[at]);
  }

  /** Returns the share of known images that may fill here at most times. */
  double tolerance() {
    long mild = index.values().stream().filter(at -> weights[at] < MILD_WEIGHT).count();
    return index.isEmpty() ? 1 : mild / (double) index.size();
  }

  /** Returns what is known under a name, what was heard of last coming last. */
  Stream<Interference.Pair> pairs(String serving) {
    return index.entrySet().stream()
        .map(
            entry -> {
              int at = entry.getValue();
              return new Interference.Pair(
                  serving, entry.getKey(), weights[at], covariance[at][at]);
            });
  }

  /** Takes over what an earlier leader has learned: weight and variance, no covariances. */
  void restore(Interference.Pair pair) {
    int at = indexOf(pair.bestEffort());
    weights[at] = pair.weight();
    covariance[at][at] = Math.max(LEAST_VARIANCE, pair.variance());
  }
}
