package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of the log lines about long-running tasks that wait. */
public class WaitLogTest {

  private static final long LONG_MILLIS = 300_000;

  private static JobSpec service(String id, int count, long cores) {
    return job(id, step(count, cores, List.of(), StepSpec.Trait.LASTS));
  }

  private static JobSimulation running(JobSpec spec, SimulatedWorker... workers) {
    JobSimulation simulation = simulation(workers);
    simulation.workMillis = LONG_MILLIS;
    simulation.restartMillis = LONG_MILLIS;
    simulation.submit(spec);
    simulation.run(1_000);
    return simulation;
  }

  private static List<JobEffect.Note> waits(JobSimulation simulation) {
    return simulation.effects.stream()
        .filter(JobEffect.Note.class::isInstance)
        .map(JobEffect.Note.class::cast)
        .filter(note -> note.name().equals("task.waits"))
        .toList();
  }

  private static void assertWaits(JobSimulation simulation, String... details) {
    List<String> logged = waits(simulation).stream().map(JobEffect.Note::detail).toList();
    assertEquals(logged.size(), details.length, logged.toString());
    for (int i = 0; i < details.length; i++) {
      assertTrue(logged.get(i).matches(details[i] + " waitedMillis=1\\d{3}"), logged.get(i));
    }
  }

  private static void changeLeader(JobSimulation simulation) {
    simulation.killLeader();
    simulation.takeOver();
    simulation.table(JobFixtures.TABLE);
  }

  /** Reasons, workers and times. */
  public static class Reasons {

    /** Guards against a lost worker whose tasks wait without a line that says until when. */
    @Test
    public void leasesOfLostWorkerAreNamedOnce() {
      SimulatedWorker lost = new SimulatedWorker("w0", 8);
      JobSimulation simulation = running(service("s", 1, 4), lost);
      simulation.crash(lost);
      simulation.run(6_000);
      assertWaits(simulation, "leaseEnd worker=w0 untilMillis=\\d{4} source=granted");
      assertEquals(waits(simulation).get(0).subject(), "s.0.0.0#1");
    }

    /** Guards against a next leader that does not say which end of the leases it waits for. */
    @Test
    public void nextLeaderNamesTheSourceOfItsWait() {
      SimulatedWorker lost = new SimulatedWorker("w0", 8);
      JobSimulation simulation = running(service("s", 1, 4), lost);
      simulation.crash(lost);
      changeLeader(simulation);
      simulation.run(3_000);
      assertWaits(simulation, "leaseEnd worker=w0 untilMillis=\\d{4} source=inherited");
      simulation.effects.clear();
      changeLeader(simulation);
      simulation.run(3_000);
      assertWaits(simulation, "leaseEnd worker=w0 untilMillis=\\d{4} source=stored");
    }

    /** Guards against a wait whose later reason is not logged. */
    @Test
    public void changedReasonIsLogged() {
      SimulatedWorker lost = new SimulatedWorker("w0", 8);
      JobSimulation simulation = running(service("s", 1, 4), lost);
      simulation.crash(lost);
      simulation.run(15_000);
      assertEquals(waits(simulation).size(), 2);
      assertTrue(waits(simulation).get(1).detail().startsWith("noRoom waitedMillis="));
    }

    /** Guards against starts without an answer, or not stored, that look like a lack of room. */
    @Test
    public void placementsOnTheirWayAreToldApart() {
      SimulatedWorker worker = new SimulatedWorker("w0", 8);
      JobSimulation simulation = running(service("s", 1, 4), worker);
      simulation.storeUnavailable = true;
      worker.stopAll();
      simulation.run(2_000);
      assertWaits(simulation, "unsaved worker=w0");
      simulation.effects.clear();
      simulation.lost = effect -> effect instanceof JobEffect.StartRun;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? LONG_MILLIS : 0;
      simulation.restoreStore();
      simulation.run(2_000);
      assertEquals(waits(simulation).size(), 1);
      assertTrue(waits(simulation).get(0).detail().startsWith("startUnanswered worker=w0 "));
    }
  }

  /** What is not logged. */
  public static class Limits {

    /** Guards against lines for usual moves, and for tasks that nobody misses yet. */
    @Test
    public void shortWaitsAndTasksThatNeverRanAreNotLogged() {
      SimulatedWorker worker = new SimulatedWorker("w0", 8);
      JobSimulation simulation = running(service("s", 3, 4), worker);
      worker.stopAll();
      simulation.submit(job("short", step(8, 4, List.of())));
      simulation.run(5_000);
      assertEquals(worker.count(), 2);
      assertWaits(simulation);
    }

    /** Guards against a flood of lines when many workers are lost; all waits are logged in time. */
    @Test
    public void atMostFiftyLinesAreWrittenEachSecond() {
      SimulatedWorker lost = new SimulatedWorker("w0", 200);
      JobSimulation simulation = running(service("s", 120, 1), lost);
      simulation.crash(lost);
      int before = 0;
      for (int i = 0; i < 6; i++) {
        simulation.run(1_000);
        int logged = waits(simulation).size();
        assertTrue(logged - before <= 100, logged + " lines after " + before);
        before = logged;
      }
      assertEquals(before, 120);
    }
  }
}
