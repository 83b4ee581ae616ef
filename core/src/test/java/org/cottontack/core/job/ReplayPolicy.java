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
    boolean declaresTruly() {
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
    boolean declaresTruly() {
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
  boolean declaresTruly() {
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
    public double effect(Worker worker, Task serving, Task filling) {
      double weight = load.weight(serving.spec.image(), filling.spec.image());
      return MOST_HEADROOM * weight * worker.share((double) filling.spec.need().cpuMillis());
    }

    @Override
    public boolean unknown(Task serving, Task filling) {
      return false;
    }

    @Override
    public double roomFor(Task serving, long millis) {
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
  private record Fixed(double effect, double room) implements Interference {

    @Override
    public void learn(Worker worker, long nowMillis) {}

    @Override
    public double tolerance(Task serving) {
      return 1;
    }

    @Override
    public double effect(Worker worker, Task serving, Task filling) {
      return effect;
    }

    @Override
    public boolean unknown(Task serving, Task filling) {
      return false;
    }

    @Override
    public double roomFor(Task serving, long millis) {
      return room;
    }

    @Override
    public Stream<Pair> pairs() {
      return Stream.of();
    }

    @Override
    public void restore(Pair pair) {}
  }
}
