package org.cottontack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cottontack.adapters.http.HttpResult;

/**
 * Callers that make transfers, each under its own key, one after another. A caller that is refused
 * or left in doubt sends the same transfer again to the next entry instance, as a real one would.
 */
final class Load implements AutoCloseable {

  /** A real caller asks a person after so many answers that leave it in doubt. */
  private static final int MAX_DOUBTS = 4;

  private static final int MAX_TRIES = 30;

  private final Cluster cluster;
  private final String name;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger made = new AtomicInteger();
  private final Map<String, String> outcomes = new TreeMap<>();
  private volatile boolean going = true;

  /** Starts callers whose keys begin with a name that no other load has. */
  Load(Cluster cluster, String name, int callers) {
    this.cluster = cluster;
    this.name = name;
    for (int i = 0; i < callers; i++) {
      int caller = i;
      Thread thread = new Thread(() -> work(caller), "caller-" + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void work(int caller) {
    for (int number = 0; going; number++) {
      String key = name + "-" + caller + "-" + number;
      String outcome = transfer(caller, key);
      synchronized (outcomes) {
        outcomes.put(key, outcome);
      }
      made.incrementAndGet();
    }
  }

  private String transfer(int caller, String key) {
    String outcome = "none";
    int doubts = 0;
    List<String> codes = new ArrayList<>();
    for (int tries = 0; tries < MAX_TRIES && doubts < MAX_DOUBTS; tries++) {
      EntryProcess entry = cluster.entry((caller + tries) % cluster.entries().size());
      HttpResult result = cluster.request(entry, "transfer", key, body(key));
      outcome = outcomeOf(result);
      if ("ran".equals(outcome)) {
        return outcome;
      }
      codes.add(result.headers().getOrDefault("cottontack-code", outcome));
      doubts += "not_run".equals(outcome) ? 0 : 1;
      LockSupport.parkNanos(50_000_000);
    }
    return outcome + " after " + codes;
  }

  /** What never left the caller did not run. */
  private static String outcomeOf(HttpResult result) {
    String silent = result.outcome() == HttpResult.Outcome.NOT_SENT ? "not_run" : "no answer";
    return result.headers().getOrDefault("cottontack-ran", silent);
  }

  static String body(String key) {
    return "{\"transfer\":\"" + key + "\",\"once\":true}";
  }

  int made() {
    return made.get();
  }

  /** Stops the callers and returns what each transfer came to. */
  Map<String, String> finish() {
    going = false;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return outcomes;
  }

  @Override
  public void close() {
    going = false;
  }
}
