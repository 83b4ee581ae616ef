package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.core.job.JobEvent;

/** The platform's list of workers. */
public interface WorkerRegistry {

  /**
   * Least time between two readings of what changed in the list, in milliseconds: news that a
   * worker leaves may be seconds old.
   */
  long BATCH_MILLIS = 100;

  /**
   * Returns a follower of the list that is not started yet.
   *
   * @param listener gets {@link JobEvent.WorkerSeen} and {@link JobEvent.WorkerUnlisted}
   * @param onCurrent called after the first complete reading
   */
  TableWatcher watcher(Consumer<JobEvent> listener, Runnable onCurrent);

  /** Tells the list as it was last read. */
  void replay(Consumer<JobEvent> listener);
}
