package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.core.job.JobEvent;

/** The platform's list of workers. */
public interface WorkerRegistry {

  /**
   * Returns a follower of the list that is not started yet.
   *
   * @param listener gets {@link JobEvent.WorkerSeen} and {@link JobEvent.WorkerUnlisted}
   * @param onCurrent called after the first complete reading
   */
  Follower follower(Consumer<JobEvent> listener, Runnable onCurrent);

  /** Tells the list as it was last read. */
  void replay(Consumer<JobEvent> listener);
}
