package org.cottontack.daemon.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.cottontack.core.job.TaskName;
import org.cottontack.daemon.job.InstancesSimulation.Entry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of whole instances that handle their first response of the store late. */
public class LateStoreClockTest {

  private static final TaskName TASK = TaskName.parse("j.0.0.0");
  private static final long WORK_MILLIS = 60_000;

  /** Rate of the slowest clock that a worker may have. */
  private static final double SLOWEST = 0.98;

  private static void cut(Entry entry, LeasedWorker worker) {
    entry.ordersCut.add(worker.id());
    entry.answersCut.add(worker.id());
  }

  private static void heal(Entry entry) {
    entry.ordersCut.clear();
    entry.answersCut.clear();
  }

  /**
   * How late the second leader handles its first response, and for how long it reaches the store
   * beside the worker, in milliseconds; how late its commits are carried out meanwhile; and for how
   * long it is suspended after that.
   */
  @DataProvider
  static Object[][] delays() {
    return LongStream.of(0, 150, 300, 600, 1_000, 1_400)
        .boxed()
        .flatMap(
            delay ->
                LongStream.of(0, 5, 10, 20, 40, 400)
                    .boxed()
                    .flatMap(
                        reached ->
                            LongStream.of(0, 300, 2_200)
                                .boxed()
                                .flatMap(
                                    late ->
                                        LongStream.of(0, 1_500)
                                            .mapToObj(
                                                suspended ->
                                                    new Object[] {
                                                      delay, reached, late, suspended
                                                    }))))
        .toArray(Object[][]::new);
  }

  /**
   * Guards against a lease that a leader which cannot withdraw its stored end extends past what the
   * next leader waits for.
   */
  @Test(dataProvider = "delays")
  public void leaseEndsBeforeTheTaskStartsAgain(
      long delay, long reached, long late, long suspended) {
    LeasedWorker one = new LeasedWorker("w0", "a");
    LeasedWorker two = new LeasedWorker("w1", "b");
    one.maxLeaseMillis = 10_000;
    two.maxLeaseMillis = 10_000;
    one.speed = SLOWEST;
    two.speed = SLOWEST;
    InstancesSimulation simulation = new InstancesSimulation(List.of(one, two));
    simulation.workMillis = () -> WORK_MILLIS;
    final Entry first = simulation.entry("e0", "a");
    simulation.run(3_000);
    first.submit("j", 1);
    simulation.run(600);
    final LeasedWorker with = one.runOf(TASK).isPresent() ? one : two;
    final LeasedWorker other = with == one ? two : one;
    cut(first, with);
    simulation.store.extraLatencyMillis = call -> call.equals("scan leader") ? delay : 0;
    final Entry second = simulation.entry("e1", "b");
    cut(second, with);
    simulation.run(1_500);
    simulation.store.extraLatencyMillis = call -> 0;
    simulation.run(1_000);
    first.kill(WORK_MILLIS);
    while (!second.leads()) {
      simulation.run(5);
    }
    simulation.run(100);
    assertTrue(second.leads());
    simulation.store.lateMillis = late;
    simulation.store.commitBehaviour =
        transaction ->
            late > 0 ? FakeTableStore.CommitBehaviour.LATE : FakeTableStore.CommitBehaviour.GOOD;
    second.reachesStore = reached > 0;
    heal(second);
    simulation.run(reached);
    second.reachesStore = false;
    second.process.pause(suspended, true);
    simulation.store.commitBehaviour = transaction -> FakeTableStore.CommitBehaviour.GOOD;
    final Entry third = simulation.entry("e2", "a");
    cut(third, with);
    while (other.startedMillis.isEmpty()) {
      simulation.run(5);
    }
    String trace = simulation.violation("trace").getMessage();
    assertTrue(trace.contains("polled by e1 (epoch 2): accepted=true"), trace);
    assertFalse(with.leased(simulation.now()), trace);
  }
}
