package org.cottontack.core.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.request.Code;
import org.cottontack.core.request.Ran;
import org.cottontack.core.simulation.FakeEndpoint;
import org.cottontack.core.simulation.FakeWorker;
import org.cottontack.core.simulation.Node;
import org.cottontack.core.simulation.Simulation;
import org.cottontack.core.task.TaskPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that each worker and endpoint has at most one acting owner, while entry instances are
 * killed or paused, the network is partitioned and the store is unavailable.
 */
public final class OwnershipTest {

  private OwnershipTest() {}

  /** A simulation with two entry instances, four endpoints and four workers. */
  public abstract static class TwoInstances {

    Simulation simulation;
    Node first;
    Node second;
    List<FakeEndpoint> endpoints;

    /** Starts the simulation and waits until all workers and endpoints are owned. */
    @BeforeMethod
    public void start() {
      simulation = new Simulation();
      endpoints =
          List.of("e1", "e2", "e3", "e4").stream().map(n -> simulation.endpoint(n, 2)).toList();
      List.of("w1", "w2", "w3", "w4").forEach(name -> simulation.worker(name, 8));
      first = simulation.start("a:1");
      second = simulation.start("b:1");
      simulation.until("all is owned", () -> slots(first) + slots(second) == 8);
      simulation.run(2_000);
    }

    static int slots(Node node) {
      return node.state().fleet().heldSlots();
    }

    static long workers(Node node) {
      return node.state().fleet().ownedWorkers().count();
    }

    void assertNoViolations() {
      assertEquals(simulation.violations(), List.of());
    }
  }

  /** Distribution of the resources among running instances. */
  public static final class Sharing extends TwoInstances {

    /** The two instances together own each worker and endpoint exactly once. */
    @Test
    public void eachResourceHasOneOwner() {
      assertEquals(slots(first) + slots(second), 8);
      assertEquals(workers(first) + workers(second), 4);
    }

    /** A third instance acquires only its own share; the others keep the rest throughout. */
    @Test
    public void joiningMovesOnlyTheNewShare() {
      Node third = simulation.start("c:1");
      simulation.until("the third took a share", () -> slots(third) + workers(third) > 0);
      simulation.until("all is owned", () -> slots(first) + slots(second) + slots(third) == 8);
      assertEquals(workers(first) + workers(second) + workers(third), 4);
      assertNoViolations();
    }
  }

  /** Entry instances that are killed. */
  public static final class Killed extends TwoInstances {

    /**
     * Guards against requests that stay unserved after their owner is killed. When its lease has
     * expired, the other instance removes it from the members, waits until its orders have expired
     * and reads what the endpoints run.
     */
    @Test
    public void survivorTakesOver() {
      first.kill();
      simulation.until(
          "the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      RequestId id = simulation.request(second, "check", "", "after", 0);
      simulation.until("an answer", () -> second.answers.containsKey(id));
      assertEquals(second.answers.get(id).code(), Code.OK);
      assertNoViolations();
    }

    /**
     * Guards against a needless wait after all instances are killed at once and replaced at the
     * same addresses. A process that listens on an address proves that its predecessor has ended,
     * so the new instances wait neither for the leases to end nor for the horizon to pass.
     */
    @Test
    public void successorsAtTheSameAddressesDoNotWait() {
      first.kill();
      second.kill();
      Node third = simulation.start("a:1");
      Node fourth = simulation.start("b:1");
      simulation.run(Simulation.LEASE);
      assertEquals(slots(third) + slots(fourth), 8);
      assertNoViolations();
    }
  }

  /** An entry instance that is paused for longer than its lease. */
  public static final class Paused extends TwoInstances {

    /**
     * Guards against a task that runs twice. The owner is paused for longer than its lease, the
     * other instance acquires its workers, and the owner resumes with its old decisions. It must
     * issue no order: its lease is checked before each one, and its next renewal fails because the
     * lease row was deleted.
     */
    @Test
    public void resumedOwnerGivesNoOrderAndRejoins() {
      final InstanceId old = first.state().ownership().self();
      first.pause();
      simulation.until(
          "the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      for (int i = 0; i < 12; i++) {
        simulation.submit(second, "t" + i, "reconcile");
      }
      simulation.run(1_000);
      first.resume();
      simulation.request(first, "check", "", "to the sleeper", 0);
      simulation.run(20_000);
      assertNotEquals(first.state().ownership().self(), old);
      assertEquals(slots(first) + slots(second), 8);
      assertNoViolations();
    }

    /**
     * Guards against an overloaded worker. Start orders of the old owner are still in transit while
     * the new owner fills the worker, and arrive last. The worker must refuse them: they carry an
     * expiry time in the worker's own clock, and the new owner has waited for longer than that.
     */
    @Test
    public void lateOrdersOfTheOldOwnerAreRefused() {
      first.ordersWithheld = true;
      second.ordersWithheld = true;
      for (int i = 0; i < 16; i++) {
        simulation.submit(i % 2 == 0 ? first : second, "t" + i, "reconcile");
      }
      simulation.run(300);
      first.pause();
      second.ordersWithheld = false;
      simulation.until("the other owns everything", () -> workers(second) == 4);
      for (int i = 16; i < 32; i++) {
        simulation.submit(second, "t" + i, "reconcile");
      }
      simulation.run(5_000);
      simulation.releaseOrders();
      first.resume();
      simulation.run(20_000);
      assertNoViolations();
    }
  }

  /** The store is unavailable to some or all instances. */
  public static final class StoreUnavailable extends TwoInstances {

    /**
     * Guards against an interruption of idempotent requests and tasks while the store is
     * unavailable for many lease durations. Neither instance can renew its lease, but each promises
     * the other not to take over, so both continue.
     */
    @Test
    public void promisesKeepRequestsAndTasksGoing() {
      simulation.submit(first, "long", "reconcile");
      simulation.until("the task runs", () -> simulation.taskRuns("long"));
      first.storeUp = false;
      second.storeUp = false;
      simulation.run(10 * Simulation.LEASE);
      RequestId id = simulation.request(first, "check", "", "in the outage", 0);
      simulation.run(500);
      assertEquals(first.answers.get(id).code(), Code.OK);
      assertTrue(simulation.taskRuns("long"), "the task's lease was renewed all along");
      first.storeUp = true;
      second.storeUp = true;
      simulation.run(10_000);
      assertTrue(simulation.taskRuns("long"));
      assertNoViolations();
    }

    /**
     * No instance may act beyond the horizon, because a process outside the epoch waits only until
     * then before it takes over.
     */
    @Test
    public void promisesEndAtTheHorizon() {
      first.storeUp = false;
      second.storeUp = false;
      simulation.run(Simulation.HORIZON + Simulation.LEASE);
      assertFalse(first.state().ownership().mayAct(first.state().mono()));
      RequestId id = simulation.request(first, "check", "", "too late", 0);
      simulation.run(2_500);
      assertEquals(first.answers.get(id).code().ran(), Ran.NOT_RUN);
      assertNoViolations();
    }

    /**
     * Guards against two owners of one endpoint. Two instances have lost the store and cover each
     * other by promises. A new instance reaches the store and sees two leases that are not renewed.
     * It was never asked for a promise, so it must wait until the horizon has passed before it
     * acquires anything.
     */
    @Test
    public void freshInstanceWaitsOutTheHorizon() {
      first.storeUp = false;
      second.storeUp = false;
      Node fresh = simulation.start("c:1");
      simulation.run(5 * Simulation.LEASE);
      assertEquals(slots(fresh), 0);
      for (int i = 0; i < 8; i++) {
        simulation.request(i % 2 == 0 ? first : second, "check", "", "r" + i, 0);
      }
      simulation.run(Simulation.HORIZON + 3 * Simulation.LEASE);
      assertEquals(slots(fresh), 8);
      assertNoViolations();
    }

    /**
     * One instance loses the store and all other instances and cannot know whether it was replaced.
     * It must stop acting within its lease and answer new requests as not run, and the other
     * instance takes over.
     */
    @Test
    public void isolatedInstanceStopsWithinItsLease() {
      first.storeUp = false;
      first.networkUp = false;
      simulation.until("the other owns everything", () -> slots(second) == 8);
      assertFalse(first.state().ownership().mayAct(first.state().mono()));
      RequestId id = simulation.request(first, "check", "", "cut", 0);
      simulation.run(2_500);
      assertEquals(first.answers.get(id).code().ran(), Ran.NOT_RUN);
      assertNoViolations();
    }
  }

  /** Partitions between some instances and the store or each other, and changes of owners. */
  public static final class PartialPartitions extends TwoInstances {

    /**
     * Guards against two owners of one endpoint. The first instance has lost the store and depends
     * on the promise of the second, which sees in the store that the lease is not renewed. The
     * second must keep its promise and acquire nothing.
     */
    @Test
    public void promisesAreKept() {
      first.storeUp = false;
      for (int i = 0; i < 200; i++) {
        simulation.request(first, "check", "", "first " + i, 0);
        simulation.request(second, "check", "", "second " + i, 0);
        simulation.run(100);
      }
      assertTrue(first.state().ownership().mayAct(first.state().mono()));
      assertTrue(slots(first) > 0 && slots(second) > 0 && slots(first) + slots(second) == 8);
      assertNoViolations();
    }

    /**
     * Guards against two owners of one endpoint. The first instance has lost the store and the
     * third instance, so only the second one promises. The third has made no promise and removes
     * the first from the members, so one promise must not be enough.
     */
    @Test
    public void coverNeedsEveryPromise() {
      Node third = simulation.start("c:1");
      simulation.until("shared", () -> slots(first) + slots(second) + slots(third) == 8);
      simulation.run(2_000);
      simulation.disconnect(first, third);
      first.storeUp = false;
      for (int i = 0; i < 200; i++) {
        for (Node node : List.of(first, second, third)) {
          simulation.request(node, "check", "", node.address() + i, 0);
          simulation.request(node, "check", "", node.address() + " again " + i, 0);
        }
        simulation.run(40);
      }
      assertNoViolations();
    }

    /**
     * Guards against an overloaded endpoint after a change of owners. The last requests of the old
     * owner are still in transit when the new owner reads what runs there, so the new owner must
     * first wait for as long as they can be in transit.
     */
    @Test
    public void newOwnerWaitsForRequestsInTransit() {
      for (int offset = 0; offset < 600; offset += 40) {
        start();
        simulation.run(offset);
        changeOwnerWithRequestsInTransit();
      }
    }

    /** At least one order lifetime passes between the barrier and the first use of a resource. */
    @Test
    public void gainsWaitOneOrderLifetime() {
      Node third = simulation.start("d:1");
      simulation.until(
          "the barrier has passed",
          () ->
              third.state().ownership().joinEpoch() > 0
                  && third.state().ownership().barrierEpoch()
                      == third.state().ownership().assignment().epoch());
      final long passed = third.state().mono();
      simulation.until("something is gained", () -> slots(third) + workers(third) > 0);
      assertTrue(third.state().mono() - passed >= 500);
    }

    private void changeOwnerWithRequestsInTransit() {
      first.orderDelay = 490;
      second.orderDelay = 490;
      endpoints.forEach(endpoint -> endpoint.millis = 300);
      Node third = simulation.start("d:1");
      for (int i = 0; i < 700; i++) {
        for (Node node : List.of(first, second, third)) {
          simulation.request(node, "check", "", node.address() + i, 0);
        }
        simulation.run(5);
      }
      assertTrue(slots(third) > 0);
      assertNoViolations();
    }
  }

  /** Graceful shutdown. */
  public static final class Leaving extends TwoInstances {

    /**
     * Guards against answers lost by a graceful shutdown. The leaving instance refuses new requests
     * as not run, finishes those in flight and releases its share, so that the other instance does
     * not have to wait for the end of its lease.
     */
    @Test
    public void finishesWhatIsInFlight() {
      final RequestId id = simulation.request(first, "check", "", "in flight", 0);
      first.accept(new OwnershipEvent.StopAsked());
      RequestId late = simulation.request(first, "check", "", "late", 0);
      assertEquals(first.answers.get(late).code(), Code.LEAVING);
      simulation.until("it has left", () -> simulation.store().scan("own/dc/lease/a:1").isEmpty());
      assertEquals(first.answers.get(id).code(), Code.OK);
      simulation.until(
          "the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      assertNoViolations();
    }

    /**
     * Guards against a graceful shutdown that leaves a caller in doubt. The other instance forwards
     * requests until this one ends. Those still in transit must be refused as not run instead of
     * being lost.
     */
    @Test
    public void forwardedRequestsAreNotLost() {
      for (int offset = 0; offset < 100; offset += 2) {
        start();
        simulation.run(offset);
        leaveWhileRequestsAreForwarded();
      }
    }

    private void leaveWhileRequestsAreForwarded() {
      endpoints.forEach(endpoint -> endpoint.millis = 30);
      for (int i = 0; i < 200; i++) {
        simulation.request(first, "check", "", "a" + i, 0);
        simulation.request(first, "transfer", "k" + i, "once " + i, 0);
        if (i == 100) {
          second.accept(new OwnershipEvent.StopAsked());
        }
        simulation.run(5);
      }
      simulation.run(5_000);
      assertEquals(
          first.answers.values().stream().filter(a -> a.code().ran() == Ran.UNKNOWN).toList(),
          List.of());
      assertNoViolations();
    }

    /** Tasks continue to run in their first attempt while their owner is replaced. */
    @Test
    public void tasksOutliveTheirOwner() {
      simulation.submit(first, "t", "reconcile");
      simulation.until("the task runs", () -> simulation.taskRuns("t"));
      first.accept(new OwnershipEvent.StopAsked());
      simulation.run(15_000);
      assertTrue(simulation.taskIs("t", TaskPhase.PLACED));
      assertEquals(simulation.task("t").attempt(), 1);
      assertTrue(simulation.taskRuns("t"));
    }
  }

  /** Workers that get a new owner, or their first one. */
  public static final class WorkerHandover extends TwoInstances {

    /**
     * Guards against a task that never runs. It is recorded as placed, and its owner is killed
     * before the start order is sent. The new owner reads the record and polls the worker, finds
     * that the attempt is not running and can no longer arrive, and places the task again.
     */
    @Test
    public void recordedButNeverStartedAttemptIsPlacedAgain() {
      first.ordersWithheld = true;
      second.ordersWithheld = true;
      simulation.submit(first, "t", "reconcile");
      simulation.until("it is recorded", () -> simulation.taskIs("t", TaskPhase.PLACED));
      simulation.run(50);
      Node owner = first.state().tasks().tasks().isEmpty() ? second : first;
      Node other = owner == first ? second : first;
      owner.kill();
      other.ordersWithheld = false;
      simulation.until("it runs", () -> simulation.taskRuns("t"));
      assertEquals(simulation.task("t").attempt(), 2);
      simulation.releaseOrders();
      simulation.run(5_000);
      assertNoViolations();
    }

    /**
     * Guards against a worker that is filled twice. Its new owner polls it before it has read the
     * records of the tasks placed there, and a placement before that read has finished would
     * overload the worker.
     */
    @Test
    public void nothingIsPlacedBeforeTheRecordsAreRead() {
      for (int i = 0; i < 30; i++) {
        simulation.submit(i % 2 == 0 ? first : second, "t" + i, "reconcile");
      }
      simulation.run(5_000);
      second.scanDelay = 1_500;
      first.kill();
      simulation.until("the other owns everything", () -> workers(second) == 4);
      simulation.run(10_000);
      assertNoViolations();
    }

    /** A worker that is added later is acquired without a change of members. */
    @Test
    public void newWorkersAreAcquired() {
      FakeWorker added = simulation.worker("w9", 64);
      simulation.until("it is owned", () -> workers(first) + workers(second) == 5);
      assertEquals(added.started(), List.of());
    }
  }
}
