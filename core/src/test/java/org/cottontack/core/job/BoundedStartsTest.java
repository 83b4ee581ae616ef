package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.lab;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of what keeps orders to start from leaving, and from beginning, too late. */
public class BoundedStartsTest {

  private static final JobId ID = new JobId("a");

  /** Submits a job whose start stays on its way. */
  private static JobLab withStartOnItsWay() {
    JobLab lab = lab(new LabWorker("w1", 8));
    lab.delay = effect -> effect instanceof JobEffect.StartRun ? 60_000 : 0;
    lab.submit(job(ID.value(), step(1, 2, List.of())));
    lab.run(300);
    return lab;
  }

  private static List<JobEffect.StartRun> starts(JobLab lab) {
    return lab.seen.stream()
        .filter(JobEffect.StartRun.class::isInstance)
        .map(JobEffect.StartRun.class::cast)
        .toList();
  }

  /** Orders that wait for their connection. */
  public static class Sending {

    /** Guards against a start that leaves after its job was cancelled. */
    @Test
    public void nothingOfCancelledJobsLeaves() {
      JobLab lab = withStartOnItsWay();
      JobEffect.StartRun start = starts(lab).get(0);
      assertTrue(lab.maySend(start));
      lab.post(new JobEvent.JobCancelled(ID));
      assertFalse(lab.maySend(start));
    }

    /** Guards against a start that leaves after its task was placed elsewhere. */
    @Test
    public void nothingLeavesThatIsNoLongerPlacedThere() {
      JobLab lab = withStartOnItsWay();
      JobEffect.StartRun start = starts(lab).get(0);
      WorkerLife worker = start.target().life();
      lab.post(new JobEvent.StartEnded(worker, start.run(), StartResult.UNHEALTHY));
      assertFalse(lab.maySend(start));
    }
  }
}
