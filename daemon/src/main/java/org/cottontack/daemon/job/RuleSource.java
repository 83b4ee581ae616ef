package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.core.job.JobTable;

/** Where the table of rules comes from. */
public interface RuleSource {

  /** Begins to tell each version of the table as it becomes known. */
  void start(Consumer<JobTable> listener);

  /** Returns when the source last answered, on our steady clock in milliseconds. */
  long contactMillis();
}
