package org.cottontack.core.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.lab.FakeEndpoint;
import org.cottontack.core.lab.FakeWorker;
import org.cottontack.core.lab.Lab;
import org.cottontack.core.lab.Node;
import org.cottontack.core.request.Code;
import org.cottontack.core.request.Ran;
import org.cottontack.core.task.TaskPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who may act for a worker or an endpoint, through kills, pauses, cuts and outages. */
public final class OwnershipTest {

  private OwnershipTest() {}

  /** A lab with two entry instances, two endpoints and two workers. */
  public abstract static class TwoInstances {

    Lab lab;
    Node first;
    Node second;
    List<FakeEndpoint> endpoints;

    /** Starts everything and waits until all is owned. */
    @BeforeMethod
    public void start() {
      lab = new Lab();
      endpoints = List.of("e1", "e2", "e3", "e4").stream().map(n -> lab.endpoint(n, 2)).toList();
      List.of("w1", "w2", "w3", "w4").forEach(name -> lab.worker(name, 8));
      first = lab.start("a:1");
      second = lab.start("b:1");
      lab.until("all is owned", () -> slots(first) + slots(second) == 8);
      lab.run(2_000);
    }

    static int slots(Node node) {
      return node.state().fleet().heldSlots();
    }

    static long workers(Node node) {
      return node.state().fleet().ownedWorkers().count();
    }

    void assertNoViolations() {
      assertEquals(lab.violations(), List.of());
    }
  }

  /** One owner for each resource. */
  public static final class Sharing extends TwoInstances {

    /** Both instances together own each worker and endpoint exactly once. */
    @Test
    public void eachResourceHasOneOwner() {
      assertEquals(slots(first) + slots(second), 8);
      assertEquals(workers(first) + workers(second), 4);
    }

    /** A third instance takes only its own share; the others keep the rest without a pause. */
    @Test
    public void joiningMovesOnlyTheNewShare() {
      Node third = lab.start("c:1");
      lab.until("the third took a share", () -> slots(third) + workers(third) > 0);
      lab.until("all is owned", () -> slots(first) + slots(second) + slots(third) == 8);
      assertEquals(workers(first) + workers(second) + workers(third), 4);
      assertNoViolations();
    }
  }

  /** An entry instance dies. */
  public static final class Killed extends TwoInstances {

    /**
     * Callers see requests served again within the lease. The killed owner's lease runs out, the
     * other removes it, waits until old orders have expired and reads what endpoints run.
     */
    @Test
    public void survivorTakesOver() {
      first.kill();
      lab.until("the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      RequestId id = lab.request(second, "check", "", "after", 0);
      lab.until("an answer", () -> second.answers.containsKey(id));
      assertEquals(second.answers.get(id).code(), Code.OK);
      assertNoViolations();
    }

    /**
     * All instances die at once and are replaced at the same addresses. Whoever listens on an
     * address proves that its predecessor is gone, so nobody waits for leases or the horizon.
     */
    @Test
    public void successorsAtTheSameAddressesDoNotWait() {
      first.kill();
      second.kill();
      Node third = lab.start("a:1");
      Node fourth = lab.start("b:1");
      lab.run(Lab.LEASE);
      assertEquals(slots(third) + slots(fourth), 8);
      assertNoViolations();
    }
  }

  /** An entry instance is paused past its lease. */
  public static final class Paused extends TwoInstances {

    /**
     * A task seems to run twice. The owner is paused past its lease, the other takes its workers,
     * then the owner wakes with its old decisions. It must not give an order: its lease is checked
     * before each, and its next renewal fails because the row is gone.
     */
    @Test
    public void resumedOwnerGivesNoOrderAndRejoins() {
      final InstanceId old = first.state().ownership().self();
      first.pause();
      lab.until("the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      for (int i = 0; i < 12; i++) {
        lab.submit(second, "t" + i, "reconcile");
      }
      lab.run(1_000);
      first.resume();
      lab.request(first, "check", "", "to the sleeper", 0);
      lab.run(20_000);
      assertNotEquals(first.state().ownership().self(), old);
      assertEquals(slots(first) + slots(second), 8);
      assertNoViolations();
    }

    /**
     * A worker holds more than it can. Start orders of the old owner are still on the wire when the
     * new owner fills the worker; they arrive last. They must be refused: they carry an expiry in
     * the worker's own clock, and the new owner waited longer than that.
     */
    @Test
    public void lateOrdersOfTheOldOwnerAreRefused() {
      first.ordersHeld = true;
      second.ordersHeld = true;
      for (int i = 0; i < 16; i++) {
        lab.submit(i % 2 == 0 ? first : second, "t" + i, "reconcile");
      }
      lab.run(300);
      first.pause();
      second.ordersHeld = false;
      lab.until("the other owns everything", () -> workers(second) == 4);
      for (int i = 16; i < 32; i++) {
        lab.submit(second, "t" + i, "reconcile");
      }
      lab.run(5_000);
      lab.releaseOrders();
      first.resume();
      lab.run(20_000);
      assertNoViolations();
    }
  }

  /** The store is away or out of reach. */
  public static final class StoreUnavailable extends TwoInstances {

    /**
     * Callers of idempotent rows are served through an outage longer than many leases. Neither
     * instance can renew; each promises the other not to take over, so both go on.
     */
    @Test
    public void promisesKeepRequestsAndTasksGoing() {
      lab.submit(first, "long", "reconcile");
      lab.until("the task runs", () -> lab.taskRuns("long"));
      first.storeUp = false;
      second.storeUp = false;
      lab.run(10 * Lab.LEASE);
      RequestId id = lab.request(first, "check", "", "in the outage", 0);
      lab.run(500);
      assertEquals(first.answers.get(id).code(), Code.OK);
      assertTrue(lab.taskRuns("long"), "the task's lease was renewed all along");
      first.storeUp = true;
      second.storeUp = true;
      lab.run(10_000);
      assertTrue(lab.taskRuns("long"));
      assertNoViolations();
    }

    /** Beyond the horizon nobody may act any more: a process outside the epoch waits just that. */
    @Test
    public void promisesEndAtTheHorizon() {
      first.storeUp = false;
      second.storeUp = false;
      lab.run(Lab.HORIZON + Lab.LEASE);
      assertFalse(first.state().ownership().mayAct(first.state().mono()));
      RequestId id = lab.request(first, "check", "", "too late", 0);
      lab.run(2_500);
      assertEquals(first.answers.get(id).code().ran(), Ran.NOT_RUN);
      assertNoViolations();
    }

    /**
     * Two owners of one endpoint. Both old instances have lost the store and cover each other; a
     * fresh one has the store and sees two silent leases. It was never asked for a promise, so it
     * must wait out the horizon before it takes anything.
     */
    @Test
    public void freshInstanceWaitsOutTheHorizon() {
      first.storeUp = false;
      second.storeUp = false;
      Node fresh = lab.start("c:1");
      lab.run(5 * Lab.LEASE);
      assertEquals(slots(fresh), 0);
      for (int i = 0; i < 8; i++) {
        lab.request(i % 2 == 0 ? first : second, "check", "", "r" + i, 0);
      }
      lab.run(Lab.HORIZON + 3 * Lab.LEASE);
      assertEquals(slots(fresh), 8);
      assertNoViolations();
    }

    /**
     * One instance is cut off from everything and cannot know whether it was replaced. It must stop
     * within its lease, refuse truthfully, and the other takes over.
     */
    @Test
    public void isolatedInstanceStopsWithinItsLease() {
      first.storeUp = false;
      first.networkUp = false;
      lab.until("the other owns everything", () -> slots(second) == 8);
      assertFalse(first.state().ownership().mayAct(first.state().mono()));
      RequestId id = lab.request(first, "check", "", "cut", 0);
      lab.run(2_500);
      assertEquals(first.answers.get(id).code().ran(), Ran.NOT_RUN);
      assertNoViolations();
    }
  }

  /** Cuts between some instances and the store or each other. */
  public static final class PartialPartitions extends TwoInstances {

    /**
     * One endpoint, two owners. The first has lost the store and lives on the promise of the
     * second, which sees a silent lease in the store; it keeps its promise and takes nothing.
     */
    @Test
    public void promisesAreKept() {
      first.storeUp = false;
      for (int i = 0; i < 200; i++) {
        lab.request(first, "check", "", "first " + i, 0);
        lab.request(second, "check", "", "second " + i, 0);
        lab.run(100);
      }
      assertTrue(first.state().ownership().mayAct(first.state().mono()));
      assertTrue(slots(first) > 0 && slots(second) > 0 && slots(first) + slots(second) == 8);
      assertNoViolations();
    }

    /**
     * One endpoint, two owners. The first has lost the store and one of two others; only the other
     * one promises. The third made no promise and removes it, so one promise must not be enough.
     */
    @Test
    public void coverNeedsEveryPromise() {
      Node third = lab.start("c:1");
      lab.until("shared", () -> slots(first) + slots(second) + slots(third) == 8);
      lab.run(2_000);
      lab.cut(first, third);
      first.storeUp = false;
      for (int i = 0; i < 200; i++) {
        for (Node node : List.of(first, second, third)) {
          lab.request(node, "check", "", node.address() + i, 0);
          lab.request(node, "check", "", node.address() + " again " + i, 0);
        }
        lab.run(40);
      }
      assertNoViolations();
    }

    /**
     * An endpoint is overfilled when it changes hands. Requests its old owner sent last are still
     * on the wire when the new owner reads what runs there; so the new owner first waits as long as
     * they can be under way.
     */
    @Test
    public void newOwnerWaitsForRequestsInTransit() {
      for (int offset = 0; offset < 600; offset += 40) {
        start();
        lab.run(offset);
        changeOwnerWithRequestsInTransit();
      }
    }

    /** The wait itself: an order lifetime lies between the barrier and the first use. */
    @Test
    public void gainsWaitOneOrderLifetime() {
      Node third = lab.start("d:1");
      lab.until(
          "the barrier has passed",
          () ->
              third.state().ownership().joinEpoch() > 0
                  && third.state().ownership().barrierEpoch()
                      == third.state().ownership().assignment().epoch());
      final long passed = third.state().mono();
      lab.until("something is gained", () -> slots(third) + workers(third) > 0);
      assertTrue(third.state().mono() - passed >= 500);
    }

    private void changeOwnerWithRequestsInTransit() {
      first.orderDelay = 490;
      second.orderDelay = 490;
      endpoints.forEach(endpoint -> endpoint.millis = 300);
      Node third = lab.start("d:1");
      for (int i = 0; i < 700; i++) {
        for (Node node : List.of(first, second, third)) {
          lab.request(node, "check", "", node.address() + i, 0);
        }
        lab.run(5);
      }
      assertTrue(slots(third) > 0);
      assertNoViolations();
    }
  }

  /** Planned stops. */
  public static final class Leaving extends TwoInstances {

    /**
     * No caller loses an answer. The leaving instance refuses new requests as not run, finishes
     * what it has, and gives its share back so that the other need not wait for its lease.
     */
    @Test
    public void finishesWhatIsInFlight() {
      final RequestId id = lab.request(first, "check", "", "in flight", 0);
      first.accept(new OwnershipEvent.StopAsked());
      RequestId late = lab.request(first, "check", "", "late", 0);
      assertEquals(first.answers.get(late).code(), Code.LEAVING);
      lab.until("it has left", () -> lab.store().scan("own/dc/lease/a:1").isEmpty());
      assertEquals(first.answers.get(id).code(), Code.OK);
      lab.until("the other owns everything", () -> slots(second) == 8 && workers(second) == 4);
      assertNoViolations();
    }

    /**
     * A planned stop leaves a caller in doubt. The other instance hands requests over until the
     * very moment this one ends; those still on their way must be refused as not run, not lost.
     */
    @Test
    public void handedOverRequestsAreNotLost() {
      for (int offset = 0; offset < 100; offset += 2) {
        start();
        lab.run(offset);
        leaveWhileRequestsAreHandedOver();
      }
    }

    private void leaveWhileRequestsAreHandedOver() {
      endpoints.forEach(endpoint -> endpoint.millis = 30);
      for (int i = 0; i < 200; i++) {
        lab.request(first, "check", "", "a" + i, 0);
        lab.request(first, "transfer", "k" + i, "once " + i, 0);
        if (i == 100) {
          second.accept(new OwnershipEvent.StopAsked());
        }
        lab.run(5);
      }
      lab.run(5_000);
      assertEquals(
          first.answers.values().stream().filter(a -> a.code().ran() == Ran.UNKNOWN).toList(),
          List.of());
      assertNoViolations();
    }

    /** Tasks go on running while their owner is replaced. */
    @Test
    public void tasksOutliveTheirOwner() {
      lab.submit(first, "t", "reconcile");
      lab.until("the task runs", () -> lab.taskRuns("t"));
      first.accept(new OwnershipEvent.StopAsked());
      lab.run(15_000);
      assertTrue(lab.taskIs("t", TaskPhase.PLACED));
      assertEquals(lab.task("t").attempt(), 1);
      assertTrue(lab.taskRuns("t"));
    }
  }

  /** Workers that are owned by a process that died before it told them anything. */
  public static final class WorkerHandover extends TwoInstances {

    /**
     * A task was recorded as placed, and its owner died before the start order left. The successor
     * reads the record and the worker, sees that the attempt is not there and cannot come any more,
     * and places the task again.
     */
    @Test
    public void recordedButNeverStartedAttemptIsPlacedAgain() {
      first.ordersHeld = true;
      second.ordersHeld = true;
      lab.submit(first, "t", "reconcile");
      lab.until("it is recorded", () -> lab.taskIs("t", TaskPhase.PLACED));
      lab.run(50);
      Node owner = first.state().tasks().tasks().isEmpty() ? second : first;
      Node other = owner == first ? second : first;
      owner.kill();
      other.ordersHeld = false;
      lab.until("it runs", () -> lab.taskRuns("t"));
      assertEquals(lab.task("t").attempt(), 2);
      lab.releaseOrders();
      lab.run(5_000);
      assertNoViolations();
    }

    /**
     * A worker is filled twice. Its new owner polls it before it has read which tasks belong there;
     * placing anything before that read is done would overfill it.
     */
    @Test
    public void nothingIsPlacedBeforeTheRecordsAreRead() {
      for (int i = 0; i < 30; i++) {
        lab.submit(i % 2 == 0 ? first : second, "t" + i, "reconcile");
      }
      lab.run(5_000);
      second.scanDelay = 1_500;
      first.kill();
      lab.until("the other owns everything", () -> workers(second) == 4);
      lab.run(10_000);
      assertNoViolations();
    }

    /** A worker added later is taken up without a change of members. */
    @Test
    public void newWorkersAreAcquired() {
      FakeWorker added = lab.worker("w9", 64);
      lab.until("it is owned", () -> workers(first) + workers(second) == 5);
      assertEquals(added.started(), List.of());
    }
  }
}
