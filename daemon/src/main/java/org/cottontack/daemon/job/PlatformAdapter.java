package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpClient;

/** Translates between a platform and an entry instance for jobs. */
public interface PlatformAdapter {

  /** Returns the platform's store. */
  TableStore store(HttpClient http, Address address);

  /** Returns where the table comes from. */
  RuleSource rules(TableStore store, Timers timers);

  /** Returns the list of workers. */
  WorkerRegistry registry(TableStore store, Timers timers);

  /** Returns what carries orders to workers. */
  WorkerClient workers(HttpClient http);

  /** Returns what answers callers. */
  Consumer<HttpCall> callers(JobEntry entry);
}
