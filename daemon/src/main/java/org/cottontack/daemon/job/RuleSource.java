package org.cottontack.daemon.job;

import java.util.Set;
import java.util.function.Consumer;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.JobTable;

/** Source of the table of rules and of the requests of the operator. */
public interface RuleSource {

  /**
   * Starts to report the table and the evacuations, each when it becomes known.
   *
   * @param tables gets each version of the table
   * @param evacuations gets the set of all evacuated data centres, whose workers are to get no new
   *     work, whenever one is added or removed
   */
  void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations);

  /** Returns when the source last answered, on our monotonic clock in milliseconds. */
  long lastContactMillis();

  /**
   * Returns when the last answered request was sent: everything that the operator had requested by
   * then has been reported.
   */
  Moment lastRequestSent();

  /**
   * Sends a new request at once if the wall clock was set forward since the last request was sent:
   * by the wall clock its response would be stale.
   */
  void refreshAfterClockJump();
}
