package org.cottontack.core.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The rules in force: the queues and the pools that serve them.
 *
 * @param version increases with each accepted edit
 * @param queues the queues
 * @param idlePools pools whose machines are switched off
 */
public record JobTable(long version, List<JobQueue> queues, List<String> idlePools) {

  /** The table before any rules are known. */
  public static final JobTable EMPTY = new JobTable(-1, List.of(), List.of());

  /** Keeps the lists immutable. */
  public JobTable {
    queues = List.copyOf(queues);
    idlePools = List.copyOf(idlePools);
  }

  /** Returns the queue with the longest prefix that the path starts with. */
  public Optional<JobQueue> match(String host, String path) {
    return queues.stream()
        .filter(queue -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix()))
        .max(Comparator.comparingInt(queue -> queue.prefix().length()));
  }

  /**
   * Returns a job's queue by the rules in force, or as it was when the job was accepted if the
   * rules no longer have it.
   */
  public JobQueue current(JobQueue accepted) {
    return queues.stream()
        .filter(queue -> queue.name().equals(accepted.name()))
        .findFirst()
        .orElse(accepted);
  }
}
