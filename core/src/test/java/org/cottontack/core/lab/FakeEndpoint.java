package org.cottontack.core.lab;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.id.AttemptId;

/** An endpoint that runs what it is sent and refuses nothing. */
public final class FakeEndpoint {

  private final String name;
  private final int slots;
  private final Lab lab;
  private final Map<AttemptId, String> running = new LinkedHashMap<>();

  /** How long a request takes, in milliseconds. */
  public long millis = 5;

  /** Whether its answers arrive. */
  public boolean answers = true;

  /** Whether connections to it can be made. */
  public boolean reachable = true;

  /** The status of its answers. */
  public int status = 200;

  FakeEndpoint(String name, int slots, Lab lab) {
    this.name = name;
    this.slots = slots;
    this.lab = lab;
  }

  int slots() {
    return slots;
  }

  void run(AttemptId attempt, String body) {
    running.put(attempt, body);
    lab.requestRan(body);
    if (running.size() > slots) {
      lab.violation(name + " runs " + running.size() + " requests in " + slots + " slots");
    }
  }

  void finish(AttemptId attempt) {
    running.remove(attempt);
  }

  Set<AttemptId> running() {
    return Set.copyOf(running.keySet());
  }

  /** Returns how many requests run here now. */
  public int busy() {
    return running.size();
  }
}
