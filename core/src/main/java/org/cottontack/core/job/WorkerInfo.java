package org.cottontack.core.job;

import java.util.List;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/**
 * Registry entry of a worker.
 *
 * @param incarnation its identifier and start time
 * @param pool the pool it belongs to
 * @param address its network address, {@code host:port}
 * @param dataCentre its data centre
 * @param capacity its total resources
 * @param labels its kind and its rack
 * @param draining whether it is about to leave and accepts no new runs
 * @param coldLeftMillis how long it will still be cold, in milliseconds; 0 if it is warm
 */
public record WorkerInfo(
    WorkerIncarnation incarnation,
    String pool,
    String address,
    DataCentreId dataCentre,
    Resources capacity,
    List<String> labels,
    boolean draining,
    long coldLeftMillis) {

  private static final String NO_ADDRESS = "";

  /** Keeps the list immutable. */
  public WorkerInfo {
    labels = List.copyOf(labels);
  }

  /** Creates the entry of a warm worker. */
  public WorkerInfo(
      WorkerIncarnation incarnation,
      String pool,
      String address,
      DataCentreId dataCentre,
      Resources capacity,
      List<String> labels,
      boolean draining) {
    this(incarnation, pool, address, dataCentre, capacity, labels, draining, 0);
  }

  /** Returns whether an entry differs from this one in nothing but the cold time. */
  public boolean sameButForColdTime(WorkerInfo other) {
    return other.withColdTime(coldLeftMillis).equals(this);
  }

  private WorkerInfo withColdTime(long millis) {
    return new WorkerInfo(
        incarnation, pool, address, dataCentre, capacity, labels, draining, millis);
  }

  /** Returns an entry for a worker that is known only because work was once placed on it. */
  static WorkerInfo unlisted(WorkerIncarnation incarnation) {
    return new WorkerInfo(
        incarnation, "", NO_ADDRESS, new DataCentreId("unknown"), Resources.NONE, List.of(), true);
  }

  /** Returns the identifier, which a later incarnation may share. */
  public WorkerId id() {
    return incarnation.worker();
  }

  /**
   * Returns the entry of another incarnation at the same address, of which nothing else is known
   * yet.
   */
  WorkerInfo withIncarnation(WorkerIncarnation next) {
    return new WorkerInfo(next, pool, address, dataCentre, capacity, labels, false);
  }

  /** Returns whether its address is known. */
  boolean reachable() {
    return !address.equals(NO_ADDRESS);
  }
}
