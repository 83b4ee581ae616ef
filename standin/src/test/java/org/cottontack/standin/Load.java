package org.cottontack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cottontack.adapters.http.HttpResult;

/**
 * Callers that each send one transfer after another, every transfer with its own idempotency key. A
 * caller that is refused or left in doubt sends the same transfer again to the next entry instance,
 * as a real caller does.
 */
final class Load implements AutoCloseable {

  /** After this many results in doubt, a real caller asks a person and stops retrying. */
  private static final int MAX_IN_DOUBT = 4;

  private static final int MAX_TRIES = 30;

  private final Cluster cluster;
  private final String name;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger completed = new AtomicInteger();
  private final Map<String, String> outcomes = new TreeMap<>();
  private volatile boolean running = true;

  /** Starts the callers. Their keys begin with the name, which no other load may use. */
  Load(Cluster cluster, String name, int callers) {
    this.cluster = cluster;
    this.name = name;
    for (int i = 0; i < callers; i++) {
      int caller = i;
      Thread thread = new Thread(() -> transferRepeatedly(caller), "caller-" + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void transferRepeatedly(int caller) {
    for (int number = 0; running; number++) {
      String key = name + "-" + caller + "-" + number;
      String outcome = transfer(caller, key);
      synchronized (outcomes) {
        outcomes.put(key, outcome);
      }
      completed.incrementAndGet();
    }
  }

  private String transfer(int caller, String key) {
    String outcome = "none";
    int inDoubt = 0;
    List<String> codes = new ArrayList<>();
    for (int tries = 0; tries < MAX_TRIES && inDoubt < MAX_IN_DOUBT; tries++) {
      EntryProcess entry = cluster.entry((caller + tries) % cluster.entries().size());
      HttpResult result = cluster.request(entry, "transfer", key, body(key));
      outcome = outcomeOf(result);
      if ("ran".equals(outcome)) {
        return outcome;
      }
      codes.add(result.headers().getOrDefault("cottontack-code", outcome));
      inDoubt += "not_run".equals(outcome) ? 0 : 1;
      LockSupport.parkNanos(50_000_000);
    }
    return outcome + " after " + codes;
  }

  /** Returns the outcome of a call. A request that was not sent counts as not run. */
  private static String outcomeOf(HttpResult result) {
    String fallback = result.outcome() == HttpResult.Outcome.NOT_SENT ? "not_run" : "no answer";
    return result.headers().getOrDefault("cottontack-ran", fallback);
  }

  static String body(String key) {
    return "{\"transfer\":\"" + key + "\",\"once\":true}";
  }

  int completed() {
    return completed.get();
  }

  /** Stops the callers and returns the outcome of each transfer by its key. */
  Map<String, String> finish() {
    running = false;
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
    running = false;
  }
}
