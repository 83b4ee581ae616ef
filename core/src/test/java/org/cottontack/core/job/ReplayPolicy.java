package org.cottontack.core.job;

import java.util.stream.Stream;

/** Who decides in a replay: the decisions as they are, or with some of them replaced. */
enum ReplayPolicy {
  /** The decisions in force. */
  STANDING,

  /** Knows which images harm which, and how the load of each service goes on. */
  KNOWN_PAIRS {
    @Override
    Interference interference(ReplayLoad load) {
      return new KnownInterference(load);
    }
  },

  /** Knows how long each task takes, in place of rough estimates. */
  KNOWN_DURATIONS {
    @Override
    boolean declaresTrueDurations() {
      return true;
    }
  },

  /** Knows both. */
  ORACLE {
    @Override
    Interference interference(ReplayLoad load) {
      return new KnownInterference(load);
    }

    @Override
    boolean declaresTrueDurations() {
      return true;
    }
  },

  /** Lets nothing fill beside services, as long as the fleet is not roomy. */
  FILL_NOTHING {
    @Override
    Interference interference(ReplayLoad load) {
      return new Fixed(1, 0);
    }
  },

  /** Lets everything fill beside everything. */
  FILL_EVERYTHING {
    @Override
    Interference interference(ReplayLoad load) {
      return new Fixed(0, 100);
    }
  };

  /** Returns what the leader knows at first of how tasks slow each other. */
  Interference interference(ReplayLoad load) {
    return new LearnedInterference();
  }

  /** Returns whether callers declare the true durations. */
  boolean declaresTrueDurations() {
    return false;
  }

  /** Knows everything of a load but the phases of tasks that fill. */
  private record KnownInterference(ReplayLoad load) implements Interference {

    /** Tails are the bound at this headroom; at rest a service has as much as this. */
    private static final double MOST_HEADROOM = ReplayLoad.BOUND_TO_BASE;

    private static final double MILD = 0.5;

    @Override
    public void learn(Worker worker, long nowMillis) {
      worker.serving().forEach(task -> task.excess = 0);
    }

    @Override
    public double tolerance(Task serving) {
      return load.tolerance(serving.spec.image(), MILD);
    }

    @Override
    public double effect(Worker worker, Task serving, Task bestEffort) {
      double weight = load.weight(serving.spec.image(), bestEffort.spec.image());
      return MOST_HEADROOM * weight * worker.share((double) bestEffort.spec.need().cpuMillis());
    }

    @Override
    public boolean unknown(Task serving, Task bestEffort) {
      return false;
    }

    @Override
    public double availableHeadroom(Task serving, long millis) {
      double used = load.service(serving.job.spec.id()).load(millis);
      return MOST_HEADROOM * (1 - used) - 1;
    }

    @Override
    public Stream<Pair> pairs() {
      return Stream.of();
    }

    @Override
    public void restore(Pair pair) {}
  }

  /** Believes the same of all pairs at all times. */
  private record Fixed(double effect, double headroom) implements Interference {

    @Override
    public void learn(Worker worker, long nowMillis) {}

    @Override
    public double tolerance(Task serving) {
      return 1;
    }

    @Override
    public double effect(Worker worker, Task serving, Task bestEffort) {
      return effect;
    }

    @Override
    public boolean unknown(Task serving, Task bestEffort) {
      return false;
    }

    @Override
    public double availableHeadroom(Task serving, long millis) {
      return headroom;
    }

    @Override
    public Stream<Pair> pairs() {
      return Stream.of();
    }

    @Override
    public void restore(Pair pair) {}
  }
}
