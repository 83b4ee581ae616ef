package org.cottontack.core.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.id.AttemptId;

/**
 * An endpoint that runs every request it gets and records a violation if its slots are exceeded.
 */
public final class FakeEndpoint {

  private final String name;
  private final int slots;
  private final Simulation simulation;
  private final Map<AttemptId, String> running = new LinkedHashMap<>();

  /** Duration of a request in milliseconds. */
  public long millis = 5;

  /** Whether its answers reach the entry instances. */
  public boolean answers = true;

  /** Whether connections to it can be made. */
  public boolean reachable = true;

  /** The status of its answers. */
  public int status = 200;

  FakeEndpoint(String name, int slots, Simulation simulation) {
    this.name = name;
    this.slots = slots;
    this.simulation = simulation;
  }

  int slots() {
    return slots;
  }

  void run(AttemptId attempt, String body) {
    running.put(attempt, body);
    simulation.requestRan(body);
    if (running.size() > slots) {
      simulation.violation(name + " runs " + running.size() + " requests in " + slots + " slots");
    }
  }

  void finish(AttemptId attempt) {
    running.remove(attempt);
  }

  Set<AttemptId> running() {
    return Set.copyOf(running.keySet());
  }

  /** Returns the number of requests that run here now. */
  public int busy() {
    return running.size();
  }
}
