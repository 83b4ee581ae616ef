package org.cottontack.core.job;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The weights of the best-effort images that run beside one serving image: by how much each lowers
 * its headroom per share of the processors that it uses. The covariances of a Kalman filter
 * attribute harm to the images that are not yet known to be harmless.
 */
final class InterferenceWeights {

  /** Weight assumed for a pair never seen. Most pairs have less than 1, harmful ones 6 to 20. */
  private static final double PRIOR = 3;

  /** Variance of the weights of different pairs. */
  private static final double PRIOR_VARIANCE = 36;

  /**
   * Lower limit of the variance of a weight, so that a well-known weight follows a change within
   * some 100 reports.
   */
  private static final double MIN_VARIANCE = 0.5;

  /**
   * Lower limit of a weight. An image that is always present cannot be distinguished from the
   * service's own load: eight such tasks, taken for harmless, together broke the bound.
   */
  private static final double MIN_WEIGHT = 0.2;

  /**
   * Standard deviation of an image's effect over the phases of its work, as a share of the effect.
   */
  private static final double PHASE_DEVIATION = 0.6;

  /** Weight below which an image may run beside another at most times. */
  private static final double MILD_WEIGHT = 2.5;

  /**
   * Number of images kept; the least recently reported one is evicted. Callers name images: without
   * a limit, a caller that gives each job a new name would fill the memory and the row that is
   * stored for the next leader.
   */
  static final int MAX_IMAGES = 32;

  private final Map<String, Integer> index = new LruMap<>(MAX_IMAGES);
  private final double[] weights = new double[MAX_IMAGES];
  private final double[][] covariance = new double[MAX_IMAGES][MAX_IMAGES];

  private int indexOf(String image) {
    Integer at = index.get(image);
    return at == null ? add(image) : at;
  }

  private int add(String image) {
    Set<Integer> taken = new HashSet<>(index.values());
    Map.Entry<String, Integer> oldest = index.entrySet().stream().findFirst().orElse(null);
    int free =
        IntStream.range(0, MAX_IMAGES)
            .filter(slot -> !taken.contains(slot))
            .findFirst()
            .orElseGet(() -> oldest.getValue());
    weights[free] = PRIOR;
    for (int other = 0; other < MAX_IMAGES; other++) {
      covariance[free][other] = 0;
      covariance[other][free] = 0;
    }
    covariance[free][free] = PRIOR_VARIANCE;
    index.put(image, free);
    return free;
  }

  /** The images that a report shows beside a task, with their predicted effect. */
  final class Mixture {
    private final int[] indexes;
    private final double[] shares;
    private final double[] gain;
    private final double headroomTaken;
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
      headroomTaken = Math.max(0, headroomSum);
      phaseVariance = phaseVarianceSum;
      variance =
          IntStream.range(0, indexes.length).mapToDouble(i -> gain[indexes[i]] * shares[i]).sum();
    }

    /** Returns the predicted headroom that the images take. */
    double headroomTaken() {
      return headroomTaken;
    }

    /** Returns the variance of {@link #headroomTaken()} that comes from uncertain weights. */
    double variance() {
      return variance;
    }

    /** Returns the variance that comes from the phases of the tasks' work. */
    double phaseVariance() {
      return phaseVariance;
    }

    /**
     * Updates the weights by the difference between the headroom taken and its prediction.
     *
     * @param difference headroom taken beyond {@link #headroomTaken()}
     * @param variance variance of the difference, including that of this mixture
     */
    void correct(double difference, double variance) {
      for (int row = 0; row < gain.length; row++) {
        weights[row] = Math.max(MIN_WEIGHT, weights[row] + gain[row] / variance * difference);
        for (int column = 0; column < gain.length; column++) {
          covariance[row][column] -= gain[row] * gain[column] / variance;
        }
      }
      for (int row = 0; row < gain.length; row++) {
        covariance[row][row] = Math.max(MIN_VARIANCE, covariance[row][row]);
      }
    }
  }

  /** Returns the predicted effect of images with the given shares of the processors. */
  Mixture mixture(Map<String, Double> shares) {
    return new Mixture(shares);
  }

  /** Returns whether no report has shown the effect of an image yet. */
  boolean unknown(String image) {
    Integer at = index.get(image);
    return at == null || covariance[at][at] >= PRIOR_VARIANCE;
  }

  /** Returns the expected weight of an image. */
  double weight(String image) {
    Integer at = index.get(image);
    return at == null ? PRIOR : Math.max(0, weights[at]);
  }

  /** Returns the share of the known images that may run beside this one at most times. */
  double tolerance() {
    long mild = index.values().stream().filter(at -> weights[at] < MILD_WEIGHT).count();
    return index.isEmpty() ? 1 : mild / (double) index.size();
  }

  /** Returns the estimates of all images for a serving image, the most recently reported last. */
  Stream<Interference.Pair> pairs(String serving) {
    return index.entrySet().stream()
        .map(
            entry -> {
              int at = entry.getValue();
              return new Interference.Pair(
                  serving, entry.getKey(), weights[at], covariance[at][at]);
            });
  }

  /** Restores what an earlier leader has learned: weight and variance, without covariances. */
  void restore(Interference.Pair pair) {
    int at = indexOf(pair.bestEffort());
    weights[at] = pair.weight();
    covariance[at][at] = Math.max(MIN_VARIANCE, pair.variance());
  }
}
