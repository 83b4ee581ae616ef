package org.cottontack.core.job;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;

/**
 * Prints how long a placement pass takes after reports of a few workers, on a fleet without room
 * for what waits, and how that grows with the fleet and with the number of waiting tasks.
 */
final class PlacementBenchmark {

  private static final int WORKERS = 245;
  private static final int LARGE_FLEET = 470;
  private static final int JOBS = 125;
  private static final int TASKS = 20;
  private static final int REPORTS = 10;
  private static final int ROUNDS = 3_000;
  private static final int COUNTED = 1_000;

  private final Term term =
      new Term(JobTiming.STANDARD, LoadControl.OFF, JobFixtures.TABLE, at(0), 0);
  private final PlacementPass pass =
      new PlacementPass(
          term,
          new WorkerSelector(new LearnedInterference()),
          new Urgency(new DurationEstimates()));
  private final List<Worker> workers;
  private final Random random = new Random(1);

  private PlacementBenchmark(int workerCount, int jobCount) {
    workers = IntStream.range(0, workerCount).mapToObj(this::addWorker).toList();
    IntStream.range(0, jobCount).forEach(this::addJob);
  }

  /** Prints the times; takes no arguments. */
  public static void main(String[] args) {
    long reference = median(WORKERS, JOBS, REPORTS);
    print(WORKERS, JOBS, REPORTS, reference, reference);
    print(LARGE_FLEET, JOBS, REPORTS, median(LARGE_FLEET, JOBS, REPORTS), reference);
    print(WORKERS, 2 * JOBS, REPORTS, median(WORKERS, 2 * JOBS, REPORTS), reference);
    print(WORKERS, JOBS, 0, median(WORKERS, JOBS, 0), reference);
    print(WORKERS, JOBS, WORKERS, median(WORKERS, JOBS, WORKERS), reference);
  }

  private static void print(int workers, int jobs, int reports, long nanos, long reference) {
    System.out.printf(
        Locale.ROOT,
        "%d workers, %d waiting tasks, %d reports: median %.3f ms, ratio %.2f%n",
        workers,
        jobs * TASKS,
        reports,
        nanos / 1e6,
        nanos / (double) reference);
  }

  private static long median(int workers, int jobs, int reports) {
    PlacementBenchmark benchmark = new PlacementBenchmark(workers, jobs);
    long[] nanos =
        LongStream.range(1, ROUNDS)
            .map(round -> benchmark.time(round, reports))
            .skip(ROUNDS - COUNTED)
            .sorted()
            .toArray();
    return nanos[nanos.length / 2];
  }

  private long time(long round, int reports) {
    term.now = at(10 * round);
    term.effects.clear();
    random.ints(reports, 0, workers.size()).forEach(number -> workers.get(number).changed());
    term.capacityChanged = true;
    long began = System.nanoTime();
    pass.place();
    return System.nanoTime() - began;
  }

  private Worker addWorker(int number) {
    WorkerInfo info =
        new WorkerInfo(
            WorkerIncarnation.withUniqueIdentifier(new WorkerId("w" + number)),
            "pool",
            "w" + number + ":1",
            new DataCentreId("dc"),
            new Resources(500, 100_000, 0),
            List.of(),
            false);
    Worker worker = term.add(info, 0);
    worker.registered = true;
    worker.everAnswered = true;
    return worker;
  }

  /** Adds a job for whose tasks no other search stands: its image is its own. */
  private void addJob(int number) {
    StepSpec step =
        TestStep.tasks(TASKS).cpu(1_000 + random.nextInt(6_000)).image("image" + number).of();
    Job job = new Job(JobFixtures.job("job" + number, step), 0);
    job.advance(0);
    term.jobs.put(job.spec.id(), job);
    term.jobsToPlace.add(job);
  }

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }
}
