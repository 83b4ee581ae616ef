package org.cottontack.core.job;

import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/** What {@link SimulationInvariants} needs to know of a simulation. */
interface SimulationView {

  /** Returns the latest incarnation of each worker, by identifier. */
  Map<WorkerId, SimulatedWorker> workers();

  /** Returns all incarnations of all workers. */
  Stream<SimulatedWorker> incarnations();

  /** Returns all jobs that were submitted. */
  Map<JobId, JobSpec> specs();

  /** Returns the stored progress of each job that has any, as the leader that acts knows it. */
  StoredRows stored();

  /** Returns the data centres that the operator evacuates. */
  Set<DataCentreId> evacuated();

  /** Returns the virtual time, in milliseconds. */
  long now();
}
