package org.cottontack.core.job;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.cottontack.core.Moment;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;

/**
 * Prints how long an admission decision takes with 2,500 waiting tasks, and the order of placement
 * beside it. The number of workers has no influence on either; 300 runs end between two decisions.
 */
final class AdmissionBenchmark {

  private static final int JOBS = 125;
  private static final int TASKS = 20;
  private static final int ENDS = 300;
  private static final int ROUNDS = 600;
  private static final int COUNTED = 200;
  private static final long PERIOD_MILLIS = 500;

  private final Term term =
      new Term(
          JobTiming.STANDARD,
          new LoadControl(Set.of(LoadPart.ADMISSION), 900, 100),
          ReplayLoad.TABLE,
          at(0),
          0);
  private final Urgency urgency = new Urgency(new DurationEstimates());
  private final AdmissionDecisions admission = new AdmissionDecisions(term, urgency);

  private AdmissionBenchmark() {
    Random random = new Random(1);
    IntStream.range(0, JOBS).mapToObj(i -> spec(i, random)).forEach(this::add);
  }

  /** Runs the benchmark; it takes no arguments. */
  public static void main(String[] args) {
    AdmissionBenchmark benchmark = new AdmissionBenchmark();
    long[] nanos =
        LongStream.range(1, ROUNDS)
            .map(benchmark::decide)
            .skip(ROUNDS - COUNTED)
            .sorted()
            .toArray();
    System.out.printf(
        Locale.ROOT,
        "decision: median %.2f ms, 99 %% %.2f ms; limits %d%n",
        nanos[nanos.length / 2] / 1e6,
        nanos[nanos.length * 99 / 100] / 1e6,
        benchmark.admission.limits().limits().size());
  }

  private long decide(long round) {
    term.now = at(round * PERIOD_MILLIS);
    term.effects.clear();
    // All jobs arrive anew, so that all of them are useful and count.
    List<JobSpec> specs = term.jobs.values().stream().map(job -> job.spec).toList();
    term.jobs.clear();
    term.jobsToPlace.clear();
    specs.forEach(this::add);
    term.jobs.values().stream()
        .flatMap(Job::tasks)
        .limit(ENDS)
        .filter(task -> task.name.index() == 0)
        .forEach(admission::done);
    long began = System.nanoTime();
    admission.update();
    JobsInProgress.order(
        urgency.order(term.jobsToPlace, term.now.mono()),
        job -> urgency.mayBeUseful(job, term.now.mono()));
    return System.nanoTime() - began;
  }

  private void add(JobSpec spec) {
    admission.arrived(spec);
    Job job = new Job(spec, term.now.mono());
    job.advance(0);
    term.jobs.put(spec.id(), job);
    term.jobsToPlace.add(job);
  }

  private static JobSpec spec(int number, Random random) {
    StepSpec step =
        TestStep.tasks(TASKS)
            .cpu(1_000 + random.nextInt(6_000))
            .estimate(500 + random.nextInt(3_000))
            .image("f" + random.nextInt(18))
            .of(StepSpec.Trait.FILLS);
    return new JobSpec(
        new JobId("job" + number),
        number % 2 == 0 ? ReplayLoad.SHORT : ReplayLoad.BEST_EFFORT,
        "",
        List.of(step),
        JobSpec.Schedule.AT_ONCE);
  }

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }
}
