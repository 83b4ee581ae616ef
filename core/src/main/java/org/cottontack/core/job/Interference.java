package org.cottontack.core.job;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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

  /** What is known of the images that fill beside one image that serves. */
  private static final class Beside {
    final Map<String, Integer> index = new LinkedHashMap<>();
    double[] weights = {};
    double[][] covariance = {};

    int indexOf(String image) {
      return index.computeIfAbsent(image, name -> grow());
    }

    private int grow() {
      int size = weights.length;
      double[] nextWeights = new double[size + 1];
      double[][] next = new double[size + 1][size + 1];
      System.arraycopy(weights, 0, nextWeights, 0, size);
      for (int row = 0; row < size; row++) {
        System.arraycopy(covariance[row], 0, next[row], 0, size);
      }
      nextWeights[size] = PRIOR;
      next[size][size] = PRIOR_VARIANCE;
      weights = nextWeights;
      covariance = next;
      return size;
    }

    void learn(Map<Integer, Double> shares, double pressure) {
      int size = weights.length;
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
      long mild = Arrays.stream(weights).filter(weight -> weight < MILD).count();
      return weights.length == 0 ? 1 : mild / (double) weights.length;
    }

    double cautious(String image) {
      Integer at = index.get(image);
      double variance = at == null ? PRIOR_VARIANCE : covariance[at][at];
      return weight(image) + CAUTION * Math.sqrt(variance);
    }
  }

  private final Map<String, Beside> besides = new HashMap<>();

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
    return worker
        .filling()
        .mapToDouble(f -> risk(worker, serving, f) * f.pace / Task.FULL_PACE)
        .sum();
  }

  /** Returns what {@link #strain} would be if a task that fills joined a worker. */
  double strainJoined(Worker worker, Crowding crowding, Task added) {
    List<Task> images = worker.servingImages();
    double most =
        IntStream.range(0, images.size())
            .mapToDouble(
                i ->
                    crowding.alone()
                        ? effect(worker, images.get(i), added)
                        : crowding.pressures().get(i) + risk(worker, images.get(i), added))
            .max()
            .orElse(0);
    return most / ALLOWED;
  }

  /**
   * Returns the predicted pressure on the worst-off serving task of a worker as a share of what its
   * bound allows, with a task that fills there at full pace; above 1 its tail is over the bound.
   */
  double strain(Worker worker, Task added) {
    return strain(worker, added, Task.FULL_PACE);
  }

  /** Returns the same with that task at a pace. */
  double strain(Worker worker, Task added, int pace) {
    return worker.servingImages().stream()
        .mapToDouble(serving -> pressure(worker, serving, added, pace) / ALLOWED)
        .max()
        .orElse(0);
  }

  /**
   * A task that would fill alone is judged without caution: otherwise an image never seen beside
   * these would never be tried where its share is large, and its jobs would wait for ever.
   */
  private double pressure(Worker worker, Task serving, Task added, int pace) {
    double share = pace / (double) Task.FULL_PACE;
    List<Task> others = worker.filling().filter(f -> f != added).toList();
    if (others.isEmpty()) {
      return share * effect(worker, serving, added);
    }
    double pressure =
        others.stream().mapToDouble(f -> risk(worker, serving, f) * f.pace / Task.FULL_PACE).sum();
    return pressure + share * risk(worker, serving, added);
  }

  /** Returns what is known, one line for each pair of images, for the store. */
  Stream<String> write() {
    return besides.entrySet().stream().flatMap(entry -> write(entry.getKey(), entry.getValue()));
  }

  private static Stream<String> write(String serving, Beside beside) {
    return beside.index.entrySet().stream()
        .map(
            pair ->
                String.format(
                    Locale.ROOT,
                    "%s %s %.2f %.2f",
                    serving,
                    pair.getKey(),
                    beside.weights[pair.getValue()],
                    beside.covariance[pair.getValue()][pair.getValue()]));
  }

  /** Takes over what an earlier leader has learned: weights and variances, without covariances. */
  void restore(List<String> lines) {
    for (String line : lines) {
      String[] fields = line.split(" ", -1);
      Beside beside = besides.computeIfAbsent(fields[0], image -> new Beside());
      int at = beside.indexOf(fields[1]);
      beside.weights[at] = Double.parseDouble(fields[2]);
      beside.covariance[at][at] = Double.parseDouble(fields[3]);
    }
  }
}
