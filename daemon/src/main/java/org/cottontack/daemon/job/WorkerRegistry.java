package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.core.job.JobEvent;

/** The platform's list of workers. */
public interface WorkerRegistry {

  /**
   * Minimum time between two requests for changes of the list, in milliseconds. This delay is
   * acceptable because the announcement that a worker leaves may be seconds old when a task starts.
   */
  long BATCH_MILLIS = 100;

  /**
   * Returns a watcher of the list that is not started yet.
   *
   * @param listener gets {@link JobEvent.WorkerSeen} and {@link JobEvent.WorkerUnlisted}
   * @param onCurrent called after the first complete scan
   */
  TableWatcher watcher(Consumer<JobEvent> listener, Runnable onCurrent);

  /** Passes the last known list to the listener. */
  void replay(Consumer<JobEvent> listener);
}
