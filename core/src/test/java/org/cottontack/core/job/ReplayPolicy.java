package org.cottontack.core.job;

import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;

/**
 * The policy of the leaders in a replay: the real decisions, or with some of their inputs replaced.
 */
enum ReplayPolicy {
  /** The decisions of the scheduler as it is. */
  STANDING,

  /** Knows the effect of each pair of images and the future load of each service. */
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

  /** Knows both pairs and durations. */
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

  /** Limits the jobs in progress. */
  ADMISSION {
    @Override
    LoadControl loadControl() {
      return with(LoadPart.ADMISSION);
    }
  },

  /** Rates workers. */
  WORKER_SCORES {
    @Override
    LoadControl loadControl() {
      return with(LoadPart.WORKER_SCORES);
    }
  },

  /** All parts of load control. */
  ALL_PARTS {
    @Override
    LoadControl loadControl() {
      return with(LoadPart.values());
    }
  },

  /** Runs no best-effort tasks beside services, unless little of the fleet is reserved. */
  FILL_NOTHING {
    @Override
    Interference interference(ReplayLoad load) {
      return new Fixed(1, 0);
    }
  },

  /** Runs best-effort tasks beside everything. */
  FILL_EVERYTHING {
    @Override
    Interference interference(ReplayLoad load) {
      return new Fixed(0, 100);
    }
  };

  private static LoadControl with(LoadPart... parts) {
    return new LoadControl(Set.of(parts), LONG_STOP_MILLIS, LoadControl.DEFAULT_RESTORE_MILLIS);
  }

  /** Returns the interference estimates that a leader starts with. */
  Interference interference(ReplayLoad load) {
    return new LearnedInterference();
  }

  /** Returns the load control of the leaders. */
  LoadControl loadControl() {
    return LoadControl.OFF;
  }

  /** Returns whether callers declare the true durations. */
  boolean declaresTrueDurations() {
    return false;
  }

  /** A stop that outlasts the period of reports, in milliseconds. */
  private static final long LONG_STOP_MILLIS = 900;

  /** Knows everything of a load except the phases of best-effort tasks. */
  private record KnownInterference(ReplayLoad load) implements Interference {

    /** Headroom of a service at rest: its tail is the bound divided by this. */
    private static final double HEADROOM_AT_REST = ReplayLoad.BOUND_TO_BASE;

    private static final double MILD = 0.5;

    @Override
    public void learn(Worker worker, long nowMillis) {
      worker.serving().forEach(task -> task.headroomShortfall = 0);
    }

    @Override
    public double tolerance(Task serving) {
      return load.tolerance(serving.spec.image(), MILD);
    }

    @Override
    public double effect(Worker worker, Task serving, Task bestEffort) {
      double weight = load.weight(serving.spec.image(), bestEffort.spec.image());
      return HEADROOM_AT_REST * weight * worker.share((double) bestEffort.spec.need().cpuMillis());
    }

    @Override
    public boolean unknown(Task serving, Task bestEffort) {
      return false;
    }

    @Override
    public double availableHeadroom(Task serving, long millis) {
      double used = load.service(serving.job.spec.id()).load(millis);
      return HEADROOM_AT_REST * (1 - used) - 1;
    }

    @Override
    public Stream<Pair> pairs() {
      return Stream.of();
    }

    @Override
    public void restore(Pair pair) {}
  }

  /** Assumes the same for all pairs at all times. */
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
