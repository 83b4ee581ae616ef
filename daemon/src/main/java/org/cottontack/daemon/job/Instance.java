package org.cottontack.daemon.job;

import org.cottontack.core.job.Capacity;
import org.cottontack.core.load.LoadControl;

/**
 * An entry instance; the same for each of its incarnations.
 *
 * @param name its name
 * @param dataCentre the data centre it is in
 * @param capacity its capacity for leading
 * @param loadControl the load control of its deployment
 */
public record Instance(String name, String dataCentre, Capacity capacity, LoadControl loadControl) {

  /** Creates an instance of a deployment without load control. */
  public Instance(String name, String dataCentre, Capacity capacity) {
    this(name, dataCentre, capacity, LoadControl.OFF);
  }
}
