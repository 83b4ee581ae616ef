package org.cottontack.core.admission;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides which jobs are rejected because they could only be complete too late to be useful. It is
 * for bursts in which more work arrives than can be completed on time. A job is rejected only if,
 * even at one and a half times the measured throughput, it would be complete after three times its
 * objective. The backlog ahead of it is counted low: jobs that can still be on time and have no
 * more remaining work than it has. Late jobs are placed after a new one of their size; where they
 * were counted, all six jobs rejected in six replays of a contended load would have been useful.
 * The class is confined to one thread.
 */
public final class AdmissionController {

  /**
   * How long jobs of a queue must have waited for places until its throughput is used, in
   * milliseconds. Throughput measured while places were free is the demand, not what the pool can
   * do. A new leader therefore rejects nothing in its first 2 s.
   */
  static final long MIN_FULL_MILLIS = 2_000;

  /** Throughput that may still be reached, as a multiple of the measured one. */
  static final double BEST_THROUGHPUT = 1.5;

  /** A result that takes more than this many times its objective is useless to the caller. */
  static final int MAX_OBJECTIVES = 3;

  /** Shortest time after which a rejected caller should return, in milliseconds. */
  static final long MIN_RETRY_MILLIS = 1_000;

  /** Longest time after which a rejected caller should return, in milliseconds. */
  static final long MAX_RETRY_MILLIS = 10_000;

  /** A class is not rejected while its share served is below this part of the other classes'. */
  static final double FAIR_SHARE = 0.5;

  /** Step to which published times are rounded, so that limits do not change at each decision. */
  private static final long ROUNDING_MILLIS = 500;

  /** Weight that earlier jobs keep in means over a queue's jobs: some 50 jobs count. */
  private static final double RETENTION = 0.98;

  /** Weight that earlier jobs keep in means over a size class: some 10 jobs count. */
  private static final double CLASS_RETENTION = 0.9;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int MAX_QUEUES = 64;

  /** The typical job of a size class. */
  private static final class Typical {
    double work;
    double chainMillis;
    double objectiveMillis;

    Typical(NewJob first) {
      work = first.expectedWork();
      chainMillis = first.chainMillis();
      objectiveMillis = first.objectiveMillis();
    }

    void add(NewJob job) {
      work = mean(CLASS_RETENTION, work, job.expectedWork());
      chainMillis = mean(CLASS_RETENTION, chainMillis, (double) job.chainMillis());
      objectiveMillis = mean(CLASS_RETENTION, objectiveMillis, (double) job.objectiveMillis());
    }
  }

  private static final class QueueJobs {
    double meanDeclared;
    final Map<SizeClass, Typical> typical = new EnumMap<>(SizeClass.class);
  }

  private record PoolQueue(String pool, String queue) {}

  private final ThroughputMeter meter;

  /** Since when useful jobs of a queue have been waiting for places. */
  private Map<PoolQueue, Long> fullSince = Map.of();

  /** Queues of which a size class is rejected. */
  private Set<String> limitedQueues = Set.of();

  private final Map<String, QueueJobs> queues = new LinkedHashMap<>(MAX_QUEUES, 1, true);

  /**
   * Begins a leader's term.
   *
   * @param meter the throughput of the pools
   */
  public AdmissionController(ThroughputMeter meter) {
    this.meter = meter;
  }

  /** Records a job that arrives. At most 64 queues are known; others are not limited. */
  public void arrived(NewJob job) {
    QueueJobs jobs = queues.computeIfAbsent(job.queue(), any -> new QueueJobs());
    if (jobs.meanDeclared == 0) {
      jobs.meanDeclared = job.declaredWork();
    } else if (!limitedQueues.contains(job.queue())) {
      // Only what is accepted arrives, so while a class is limited the mean would fall and the
      // limits of the classes with it.
      jobs.meanDeclared = mean(RETENTION, jobs.meanDeclared, job.declaredWork());
    }
    SizeClass size = SizeClass.of(job.declaredWork(), jobs.meanDeclared);
    Typical typical = jobs.typical.get(size);
    if (typical == null) {
      jobs.typical.put(size, new Typical(job));
    } else {
      typical.add(job);
    }
    if (queues.size() > MAX_QUEUES) {
      queues.remove(queues.keySet().iterator().next());
    }
  }

  /** Returns the size class of a job. */
  public SizeClass sizeClass(String queue, double declaredWork) {
    return SizeClass.of(
        declaredWork,
        Optional.ofNullable(queues.get(queue)).map(jobs -> jobs.meanDeclared).orElse(0.0));
  }

  /**
   * Decides what is rejected now.
   *
   * @param open all jobs that end by themselves, are due and are not complete
   * @param nowMillis the present time, in milliseconds of a steady clock
   * @return at most one rejection for each queue and size class
   */
  public List<Rejection> decide(Collection<ObservedJob> open, long nowMillis) {
    Map<PoolQueue, List<ObservedJob>> byQueue =
        open.stream()
            .collect(
                Collectors.groupingBy(
                    job -> new PoolQueue(job.pool(), job.queue()),
                    LinkedHashMap::new,
                    Collectors.toList()));
    Map<PoolQueue, Long> before = fullSince;
    fullSince =
        byQueue.entrySet().stream()
            .filter(entry -> entry.getValue().stream().anyMatch(ObservedJob::waitsUsefully))
            .map(Map.Entry::getKey)
            .collect(Collectors.toMap(key -> key, key -> before.getOrDefault(key, nowMillis)));
    List<Rejection> rejections =
        byQueue.entrySet().stream()
            .flatMap(entry -> decide(entry.getKey(), entry.getValue(), nowMillis))
            .toList();
    limitedQueues =
        rejections.stream().map(rejection -> rejection.limit().queue()).collect(Collectors.toSet());
    return rejections;
  }

  private Stream<Rejection> decide(PoolQueue key, List<ObservedJob> open, long nowMillis) {
    QueueJobs jobs = queues.get(key.queue());
    long since = fullSince.getOrDefault(key, nowMillis);
    if (jobs == null || jobs.meanDeclared <= 0 || nowMillis - since < MIN_FULL_MILLIS) {
      return Stream.of();
    }
    double throughput =
        meter.perSecond(key.pool(), key.queue(), since, nowMillis) / MILLIS_PER_SECOND;
    if (throughput <= 0) {
      return Stream.of();
    }
    Shares shares = new Shares(key, jobs, open, nowMillis);
    return jobs.typical.entrySet().stream()
        .flatMap(
            entry ->
                rejection(key, jobs, entry.getKey(), entry.getValue(), open, throughput).stream())
        .filter(rejection -> shares.fair(rejection.size()));
  }

  /** Returns the rejection of a size class; throughput is per millisecond. */
  private static Optional<Rejection> rejection(
      PoolQueue key,
      QueueJobs jobs,
      SizeClass size,
      Typical typical,
      List<ObservedJob> open,
      double throughput) {
    double backlog =
        open.stream()
            .filter(job -> job.onTime() && job.remainingWork() <= typical.work)
            .mapToDouble(ObservedJob::remainingWork)
            .sum();
    double millis = (backlog + typical.work) / throughput;
    double bestMillis = Math.max(typical.chainMillis, millis / BEST_THROUGHPUT);
    if (bestMillis <= MAX_OBJECTIVES * typical.objectiveMillis) {
      return Optional.empty();
    }
    double mean = rounded(jobs.meanDeclared);
    return Optional.of(
        new Rejection(
            key.pool(),
            size,
            new AdmissionLimits.Limit(
                key.queue(),
                size.minWork(mean),
                size.maxWork(mean),
                rounded(Math.max(typical.chainMillis, millis), 0, Long.MAX_VALUE),
                retryAfterMillis(size, millis - typical.objectiveMillis)),
            backlog,
            MILLIS_PER_SECOND * throughput));
  }

  private static long retryAfterMillis(SizeClass size, double drainMillis) {
    long max = MAX_RETRY_MILLIS - SizeClass.ABOVE.laterMillis();
    return size.laterMillis() + rounded(drainMillis, MIN_RETRY_MILLIS, max);
  }

  private static long rounded(double millis, long min, long max) {
    long steps = (long) Math.ceil(millis / ROUNDING_MILLIS);
    return Math.max(min, Math.min(max, ROUNDING_MILLIS * steps));
  }

  /** Rounds to two significant digits, so that limits do not change with each job. */
  private static double rounded(double work) {
    double unit = Math.pow(10, Math.floor(Math.log10(Math.max(1, work))) - 1);
    return unit * Math.round(work / unit);
  }

  private static double mean(double retention, double mean, double next) {
    return retention * mean + (1 - retention) * next;
  }

  /** The work of each size class of a queue, for the fairness rule. */
  private final class Shares {
    private final Map<SizeClass, Double> served = new EnumMap<>(SizeClass.class);
    private final Map<SizeClass, Double> left = new EnumMap<>(SizeClass.class);

    Shares(PoolQueue key, QueueJobs jobs, List<ObservedJob> open, long nowMillis) {
      Stream.of(SizeClass.values())
          .forEach(
              size -> served.put(size, meter.served(key.pool(), key.queue(), size, nowMillis)));
      open.forEach(
          job ->
              left.merge(
                  SizeClass.of(job.declaredWork(), jobs.meanDeclared),
                  job.remainingWork(),
                  Double::sum));
    }

    /**
     * Returns whether a class may be rejected: its share served is at least half of the share
     * served of all other classes together.
     */
    boolean fair(SizeClass size) {
      double others = share(Stream.of(SizeClass.values()).filter(other -> other != size).toList());
      return share(List.of(size)) >= FAIR_SHARE * others;
    }

    private double share(List<SizeClass> sizes) {
      double done = sizes.stream().mapToDouble(size -> served.getOrDefault(size, 0.0)).sum();
      double open = sizes.stream().mapToDouble(size -> left.getOrDefault(size, 0.0)).sum();
      return done > 0 ? done / (done + open) : 0;
    }
  }
}
