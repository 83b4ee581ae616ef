package org.cottontack.core.job;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The rules in force: the queues and the pools that serve them. */
public final class JobTable {

  /** The table before any rules are known. */
  public static final JobTable EMPTY = new JobTable(-1, List.of(), List.of());

  private final long version;
  private final List<JobQueue> queues;
  private final List<String> idlePools;
  private final Map<String, JobQueue> queuesByName;

  /**
   * Creates a table.
   *
   * @param version increases with each accepted edit
   * @param queues the queues; of several with one name, the first one counts
   * @param idlePools pools whose machines are switched off
   */
  public JobTable(long version, List<JobQueue> queues, List<String> idlePools) {
    this.version = version;
    this.queues = List.copyOf(queues);
    this.idlePools = List.copyOf(idlePools);
    this.queuesByName =
        queues.stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    JobQueue::name, Function.identity(), (first, second) -> first));
  }

  /** Returns the version of the rules, which increases with each accepted edit. */
  public long version() {
    return version;
  }

  /** Returns the queues. */
  public List<JobQueue> queues() {
    return queues;
  }

  /** Returns the pools whose machines are switched off. */
  public List<String> idlePools() {
    return idlePools;
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
    return queuesByName.getOrDefault(accepted.name(), accepted);
  }
}
