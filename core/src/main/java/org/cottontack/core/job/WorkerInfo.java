package org.cottontack.core.job;

import java.util.List;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/**
 * What a worker says of itself when it registers.
 *
 * @param incarnation who it is, and since when
 * @param pool the pool it belongs to
 * @param address where it is reached, {@code host:port}
 * @param dataCentre its data centre
 * @param capacity what it can hold
 * @param labels its kind and its rack
 * @param draining whether it is about to leave and takes nothing new
 */
public record WorkerInfo(
    WorkerIncarnation incarnation,
    String pool,
    String address,
    DataCentreId dataCentre,
    Resources capacity,
    List<String> labels,
    boolean draining) {

  private static final String NO_ADDRESS = "";

  /** Returns a worker that is known only because work was once given to it. */
  static WorkerInfo unlisted(WorkerIncarnation incarnation) {
    return new WorkerInfo(
        incarnation, "", NO_ADDRESS, new DataCentreId("unknown"), Resources.NONE, List.of(), true);
  }

  /** Returns the identifier, which a later life may have as well. */
  public WorkerId id() {
    return incarnation.worker();
  }

  /** Returns the same of another life at the same place, of which nothing else is known yet. */
  WorkerInfo withIncarnation(WorkerIncarnation next) {
    return new WorkerInfo(next, pool, address, dataCentre, capacity, labels, false);
  }

  /** Returns whether its address is known. */
  boolean reachable() {
    return !address.equals(NO_ADDRESS);
  }

  /** Keeps the list immutable. */
  public WorkerInfo {
    labels = List.copyOf(labels);
  }
}
