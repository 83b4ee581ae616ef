package org.cottontack.daemon.job;

import java.util.Set;
import java.util.function.Consumer;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.JobTable;

/** Where the table of rules and the operator's requests come from. */
public interface RuleSource {

  /**
   * Begins to tell what the operator wants, as it becomes known.
   *
   * @param tables gets each version of the table
   * @param evacuations gets all data centres whose workers are to get nothing new, whenever there
   *     is one more or less
   */
  void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations);

  /** Returns when the source last answered, on our steady clock in milliseconds. */
  long lastContactMillis();

  /**
   * Returns when the question was sent that the source answered last: all that the operator wanted
   * by then has been told.
   */
  Moment lastRequestSent();

  /**
   * Asks the source again at once where the time of day was set forward since it was asked last:
   * that answer will be old by its date.
   */
  void refreshAfterClockJump();
}
