package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.QUEUE;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;
import org.testng.annotations.Test;

/** Tests of a leader's admission limits, over whole terms in virtual time. */
public class AdmissionDecisionsTest {

  private static final LoadControl ADMISSION =
      new LoadControl(Set.of(LoadPart.ADMISSION), 900, LoadControl.DEFAULT_RESTORE_MILLIS);

  /** Jobs of a burst that arrive at a time: 40 tasks of half a second; four run at a time. */
  private static final int BURST = 10;

  /** Returns a worker that has run some jobs for 3 s. */
  private static JobSimulation warm(LoadControl loadControl) {
    JobSimulation simulation = new JobSimulation(loadControl, new SimulatedWorker("w1", 8));
    simulation.table(JobFixtures.TABLE);
    IntStream.range(0, 5)
        .forEach(
            i -> {
              simulation.submit(job("warm" + i, step(4, 2, List.of())));
              simulation.run(600);
            });
    return simulation;
  }

  /** Submits jobs for a time, far more than can be on time. */
  private static void burst(JobSimulation simulation, String name, long millis) {
    for (long end = simulation.now + millis; simulation.now < end; simulation.run(100)) {
      IntStream.range(0, BURST)
          .mapToObj(i -> job(name + simulation.now + "-" + i, step(4, 2, List.of())))
          .forEach(simulation::submit);
    }
  }

  private static Optional<AdmissionLimits.Limit> limit(JobSimulation simulation) {
    double work = AdmissionDecisions.declaredWork(job("any", step(4, 2, List.of())));
    return simulation.admissionLimits().limitFor(QUEUE.name(), work);
  }

  private static Stream<JobEffect.Note> notes(JobSimulation simulation, String name) {
    return simulation.effects.stream()
        .filter(JobEffect.Note.class::isInstance)
        .map(JobEffect.Note.class::cast)
        .filter(note -> note.name().equals(name));
  }

  private static List<String> tailLines(JobSimulation simulation) {
    return simulation.effects.stream()
        .filter(JobEffect.SaveProgress.class::isInstance)
        .map(effect -> ((JobEffect.SaveProgress) effect).learned())
        .flatMap(String::lines)
        .filter(line -> line.startsWith("tail "))
        .toList();
  }

  /** A burst of more work than can be done in time. */
  public static class Burst {

    /** Guards against a leader that takes jobs which can only be too late, and does not say why. */
    @Test
    public void isLimitedUntilItIsDone() {
      JobSimulation simulation = warm(ADMISSION);
      assertTrue(limit(simulation).isEmpty());
      burst(simulation, "burst", 3_000);
      AdmissionLimits.Limit limit = limit(simulation).orElseThrow();
      assertTrue(limit.waitMillis() > 3_000, limit.toString());
      assertTrue(limit.retryAfterMillis() >= 1_000, limit.toString());
      simulation.run(3_000);
      assertEquals(simulation.admissionLimits(), AdmissionLimits.NONE);
      assertEquals(notes(simulation, "admission.limited").count(), 1);
      assertEquals(notes(simulation, "admission.lifted").count(), 1);
    }

    /** Guards against rejected long-running and scheduled jobs, and against counting their work. */
    @Test
    public void ofOtherKindsOfJobsIsNotLimited() {
      JobSimulation simulation = warm(ADMISSION);
      StepSpec tasks = step(4, 2, List.of());
      JobSpec.Schedule repeats = new JobSpec.Schedule(simulation.now, 100, 20);
      IntStream.range(0, BURST)
          .forEach(
              i -> {
                simulation.submit(
                    new JobSpec(new JobId("s" + i), QUEUE, "", List.of(tasks), repeats));
                simulation.submit(job("l" + i, step(4, 2, List.of(), StepSpec.Trait.LASTS)));
              });
      simulation.run(3_500);
      assertEquals(simulation.admissionLimits(), AdmissionLimits.NONE);
    }

    /** Guards against limits because of jobs that wait although places are free. */
    @Test
    public void ofJobsThatNoWorkerCanHoldIsNotLimited() {
      JobSimulation simulation = warm(ADMISSION);
      IntStream.range(0, BURST)
          .forEach(i -> simulation.submit(job("big" + i, step(1, 99, List.of()))));
      for (int i = 0; i < 8; i++) {
        simulation.submit(job("ok" + i, step(1, 1, List.of())));
        simulation.run(500);
        assertEquals(simulation.admissionLimits(), AdmissionLimits.NONE);
      }
    }

    /** Guards against decisions and state of a part that is not in force. */
    @Test
    public void isNotLimitedWithThePartOff() {
      JobSimulation simulation = warm(LoadControl.OFF);
      burst(simulation, "burst", 4_000);
      assertEquals(simulation.admissionLimits(), AdmissionLimits.NONE);
      assertEquals(tailLines(simulation), List.of());
    }
  }

  /** A leader that is lost during a burst. */
  public static class LostLeader {

    /**
     * Guards against a next leader that decides from measurements it does not have, and against one
     * that loses the distributions of durations.
     */
    @Test
    public void isFollowedByOneThatMeasuresAgain() {
      JobSimulation simulation = warm(ADMISSION);
      burst(simulation, "first", 3_000);
      assertTrue(limit(simulation).isPresent());
      assertFalse(tailLines(simulation).isEmpty());
      simulation.killLeader();
      simulation.run(900);
      simulation.effects.clear();
      simulation.takeOver();
      for (int i = 0; i < 19; i++) {
        burst(simulation, "second", 100);
        assertTrue(limit(simulation).isEmpty(), "after " + i + " ticks");
      }
      // The next leader has no run of its own at full pace when it first writes the line.
      assertTrue(tailLines(simulation).get(0).startsWith("tail " + QUEUE.name() + " "));
      burst(simulation, "second", 1_500);
      assertTrue(limit(simulation).isPresent());
    }
  }
}
