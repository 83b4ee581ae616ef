package org.cottontack.daemon.job;

import java.util.function.Consumer;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpClient;

/** Adapts a platform to the interfaces that an entry instance for jobs uses. */
public interface PlatformAdapter {

  /**
   * Returns the platform's store.
   *
   * @param rowBytes largest content of a row, in bytes
   */
  TableStore store(HttpClient http, Address address, int rowBytes);

  /** Returns the source of the table of rules. */
  RuleSource rules(TableStore store, Timers timers);

  /** Returns the list of workers. */
  WorkerRegistry registry(TableStore store, Timers timers);

  /** Returns the client that sends orders to workers. */
  WorkerClient workers(HttpClient http);

  /** Returns the handler of calls from callers. */
  Consumer<HttpCall> callers(JobEntry entry);
}
