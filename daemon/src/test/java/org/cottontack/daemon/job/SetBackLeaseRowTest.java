package org.cottontack.daemon.job;

import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.job.TaskName;
import org.cottontack.daemon.job.InstancesSimulation.Entry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a leader that is suspended while its time of day is set back, goes on leading, and is
 * killed.
 */
public class SetBackLeaseRowTest {

  private static final TaskName TASK = TaskName.parse("j.0.0.0");
  private static final long WORK_MILLIS = 60_000;
  private static final long SUSPENDED_MILLIS = 1_500;

  private static void cut(Entry entry, LeasedWorker worker) {
    entry.ordersCut.add(worker.id());
    entry.answersCut.add(worker.id());
  }

  /**
   * By how much the time of day is set back, when the leader is suspended, and when it is killed
   * after it resumed.
   */
  @DataProvider
  static Object[][] kills() {
    return Stream.of(0L, SUSPENDED_MILLIS)
        .flatMap(
            setBack ->
                LongStream.of(0, 300, 600, 900)
                    .boxed()
                    .flatMap(
                        since ->
                            LongStream.rangeClosed(1, 12)
                                .mapToObj(number -> new Object[] {setBack, since, 100 * number})))
        .toArray(Object[][]::new);
  }

  /** Guards against a renewal that states a time too early, so that the next leader waits less. */
  @Test(dataProvider = "kills")
  public void leaseEndsBeforeTheTaskStartsAgain(long setBack, long since, long killed) {
    LeasedWorker one = new LeasedWorker("w0", "a");
    LeasedWorker two = new LeasedWorker("w1", "b");
    one.maxLeaseMillis = 10_000;
    two.maxLeaseMillis = 10_000;
    InstancesSimulation simulation = new InstancesSimulation(List.of(one, two));
    simulation.workMillis = () -> WORK_MILLIS;
    final Entry first = simulation.entry("e0", "a");
    simulation.run(1_000);
    final Entry second = simulation.entry("e1", "b");
    simulation.run(2_000);
    first.submit("j", 1);
    simulation.run(600 + since);
    final LeasedWorker with = one.runOf(TASK).isPresent() ? one : two;
    final LeasedWorker other = with == one ? two : one;
    cut(second, with);
    first.process.pause(SUSPENDED_MILLIS, true);
    first.process.clockOffsetMillis -= setBack;
    simulation.run(SUSPENDED_MILLIS + killed);
    first.kill(WORK_MILLIS);
    while (other.startedMillis.isEmpty()) {
      simulation.run(5);
    }
    String trace = simulation.violation("trace").getMessage();
    assertFalse(with.leased(simulation.now()), trace);
  }
}
