package org.cottontack.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Learns how much tasks that fill slow tasks that serve, for each pair of images. The load: most
 * pairs hardly matter, and a few multiply a tail by ten; several images work on a worker at once,
 * and reports are rough and swing with the load of the serving task. The logarithm of the tail is
 * taken to grow by a weight for each share of the processors that an image beside it uses. For each
 * serving image a Kalman filter (Kalman 1960) keeps those weights with their covariance, so blame
 * falls on the image that is not yet known to be harmless, and a pair never seen counts as a risk
 * that shrinks with each report.
 */
final class Interference {

  /** A serving task alone has a tail of about this share of its bound: the median of reports. */
  static final double QUIET_SHARE = 0.4;

  /** Weight assumed for a pair never seen. */
  private static final double PRIOR = 1.0;

  /** Variance of weights between pairs: harmless ones have 0, harmful ones 3 to 15. */
  private static final double PRIOR_VARIANCE = 16.0;

  /**
   * Variance of a report about the logarithm of a tail: 0.15 from reports with nothing beside, and
   * twice that because reports half a second apart share the swing of the load.
   */
  private static final double NOISE = 0.3;

  /**
   * Variance that a well-known weight keeps, so that a change is followed within some 100 reports.
   */
  private static final double LEAST_VARIANCE = 0.05;

  /** Standard deviations added to a weight when a risk is judged. */
  private static final double CAUTION = 0.75;

  /** Share of the processors below which an image says nothing about its weight. */
  private static final double LEAST_SHARE = 0.005;

  /** Weight up to which an image may fill beside another on most workers. */
  private static final double MILD = 2.0;

  /** Growth of the logarithm of a tail from where it is alone to its bound. */
  private static final double ALLOWED = Math.log(1 / QUIET_SHARE);

  private static final int AT_WORK = 100;

  /**
   * Images remembered on each side of the pairs; the one not heard of for longest makes room.
   * Callers name images: without a bound one that gives each job a new name would fill the memory
   * and the row that is kept for the next leader.
   */
  private static final int MOST_IMAGES = 32;

  /**
   * What is known about a pair of images.
   *
   * @param serving the image whose tail grows
   * @param filling the image beside it
   * @param weight growth of the logarithm of the tail for each share of the processors
   * @param variance how uncertain the weight is
   */
  record Pair(String serving, String filling, double weight, double variance) {}

  /** What is known of the images that fill beside one image that serves. */
  private static final class Beside {
    final Map<String, Integer> index = new LruMap<>(MOST_IMAGES);
    final double[] weights = new double[MOST_IMAGES];
    final double[][] covariance = new double[MOST_IMAGES][MOST_IMAGES];

    int indexOf(String image) {
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

    void learn(Map<Integer, Double> shares, double pressure) {
      int size = index.values().stream().mapToInt(at -> at + 1).max().orElse(0);
      double[] gain = new double[size];
      double predicted = 0;
      double spread = NOISE;
      for (Map.Entry<Integer, Double> share : shares.entrySet()) {
        predicted += weights[share.getKey()] * share.getValue();
        for (int row = 0; row < size; row++) {
          gain[row] += covariance[row][share.getKey()] * share.getValue();
        }
      }
      for (Map.Entry<Integer, Double> share : shares.entrySet()) {
        spread += gain[share.getKey()] * share.getValue();
      }
      for (int row = 0; row < size; row++) {
        weights[row] += gain[row] / spread * (pressure - predicted);
        for (int column = 0; column < size; column++) {
          covariance[row][column] -= gain[row] * gain[column] / spread;
        }
      }
      for (int row = 0; row < size; row++) {
        covariance[row][row] = Math.max(LEAST_VARIANCE, covariance[row][row]);
      }
    }

    double weight(String image) {
      Integer at = index.get(image);
      return at == null ? PRIOR : Math.max(0, weights[at]);
    }

    double tolerance() {
      long mild = index.values().stream().filter(at -> weights[at] < MILD).count();
      return index.isEmpty() ? 1 : mild / (double) index.size();
    }

    double cautious(String image) {
      Integer at = index.get(image);
      double variance = at == null ? PRIOR_VARIANCE : covariance[at][at];
      return weight(image) + CAUTION * Math.sqrt(variance);
    }
  }

  private final Map<String, Beside> besides = new LruMap<>(MOST_IMAGES);

  private Beside beside(Task serving) {
    return besides.computeIfAbsent(serving.spec.image(), image -> new Beside());
  }

  /** Takes in the loads that a worker last reported. */
  void learn(Worker worker) {
    Map<String, Double> loads =
        worker
            .filling()
            .filter(task -> worker.share(task.load) > LEAST_SHARE)
            .collect(
                Collectors.groupingBy(
                    task -> task.spec.image(),
                    Collectors.summingDouble(task -> worker.share(task.load))));
    if (!loads.isEmpty()) {
      worker
          .serving()
          .filter(task -> task.progress == AT_WORK && task.load > 0)
          .forEach(task -> learn(task, loads));
    }
  }

  private void learn(Task serving, Map<String, Double> loads) {
    Beside beside = beside(serving);
    Map<Integer, Double> shares = new HashMap<>();
    loads.forEach((image, share) -> shares.put(beside.indexOf(image), share));
    double quiet = QUIET_SHARE * serving.spec.targetMillis();
    beside.learn(shares, Math.log(serving.load / quiet));
  }

  /** Returns the share of known images that may fill beside a serving task. */
  double tolerance(Task serving) {
    return beside(serving).tolerance();
  }

  /** Returns how much of a serving task's slowdown a task that fills causes at full pace. */
  double effect(Worker worker, Task serving, Task filling) {
    return beside(serving).weight(filling.spec.image()) * fullShare(worker, filling);
  }

  private double risk(Worker worker, Task serving, Task filling) {
    return beside(serving).cautious(filling.spec.image()) * fullShare(worker, filling);
  }

  private static double fullShare(Worker worker, Task filling) {
    return worker.share((double) filling.spec.need().cpuMillis());
  }

  /** Returns the predicted pressure on a serving task by all that fills beside it. */
  double pressureOn(Worker worker, Task serving) {
    return worker.filling().mapToDouble(f -> riskNow(worker, serving, f)).sum();
  }

  private double riskNow(Worker worker, Task serving, Task filling) {
    return risk(worker, serving, filling) * filling.pace / Task.FULL_PACE;
  }

  /**
   * Returns the predicted pressure on the worst-off serving task of a worker as a share of what its
   * bound allows, if a task that fills joined it; above 1 its tail is over the bound.
   */
  double strainJoined(Worker worker, Crowding crowding, Task added) {
    List<Task> images = worker.servingImages();
    return IntStream.range(0, images.size())
        .mapToDouble(
            i ->
                crowding.alone()
                    ? effect(worker, images.get(i), added)
                    : crowding.pressures().get(i) + risk(worker, images.get(i), added))
        .map(pressure -> pressure / ALLOWED)
        .max()
        .orElse(0);
  }

  /** Returns the same for a task that fills there already, at another pace. */
  double strain(Worker worker, Task placed, int pace) {
    boolean alone = worker.filling().allMatch(task -> task == placed);
    return worker.servingImages().stream()
        .mapToDouble(serving -> pressureAt(worker, serving, placed, pace, alone) / ALLOWED)
        .max()
        .orElse(0);
  }

  /**
   * A task that fills alone is judged without caution, as is one that would: otherwise an image
   * never seen beside these would never be tried where its share is large, and its jobs would wait
   * for ever.
   */
  private double pressureAt(Worker worker, Task serving, Task placed, int pace, boolean alone) {
    double share = pace / (double) Task.FULL_PACE;
    if (alone) {
      return share * effect(worker, serving, placed);
    }
    double others = pressureOn(worker, serving) - riskNow(worker, serving, placed);
    return others + share * risk(worker, serving, placed);
  }

  /** Returns what is known, what was heard of last coming last. */
  Stream<Pair> pairs() {
    return besides.entrySet().stream().flatMap(entry -> pairs(entry.getKey(), entry.getValue()));
  }

  private static Stream<Pair> pairs(String serving, Beside beside) {
    return beside.index.entrySet().stream()
        .map(
            entry -> {
              int at = entry.getValue();
              return new Pair(
                  serving, entry.getKey(), beside.weights[at], beside.covariance[at][at]);
            });
  }

  /** Takes over what an earlier leader has learned: weights and variances, no covariances. */
  void restore(Pair pair) {
    Beside beside = besides.computeIfAbsent(pair.serving(), image -> new Beside());
    int at = beside.indexOf(pair.filling());
    beside.weights[at] = pair.weight();
    beside.covariance[at][at] = Math.max(LEAST_VARIANCE, pair.variance());
  }
}
