package org.cottontack.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.core.simulation.FakeEndpoint;
import org.cottontack.core.simulation.Node;
import org.cottontack.core.simulation.Simulation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the three outcomes of requests: complete answers, truthful refusals and unknown outcomes,
 * and at most one run of requests that are not idempotent.
 */
public final class RequestTest {

  private RequestTest() {}

  /** A simulation with two entry instances and four endpoints of two slots each. */
  public abstract static class TwoInstances {

    Simulation simulation;
    Node first;
    Node second;
    List<FakeEndpoint> endpoints;

    /** Starts everything and waits until all endpoints are held. */
    @BeforeMethod
    public void start() {
      simulation = new Simulation();
      endpoints =
          List.of("e1", "e2", "e3", "e4").stream().map(n -> simulation.endpoint(n, 2)).toList();
      first = simulation.start("a:1");
      second = simulation.start("b:1");
      simulation.until(
          "all endpoints are held",
          () -> first.state().fleet().heldSlots() + second.state().fleet().heldSlots() == 8);
      simulation.run(1_000);
    }

    Answer answer(Node node, RequestId id) {
      simulation.until("an answer", () -> node.answers.containsKey(id));
      return node.answers.get(id);
    }

    void assertNoViolations() {
      assertEquals(simulation.violations(), List.of());
    }
  }

  /** Answers, forwarding and refusals. */
  public static final class NormalOperation extends TwoInstances {

    /** Every caller gets the answer to its own request. */
    @Test
    public void eachCallerGetsItsOwnAnswer() {
      List<RequestId> ids =
          IntStream.range(0, 40)
              .mapToObj(i -> simulation.request(first, "check", "", "body " + i, 0))
              .toList();
      simulation.run(1_000);
      for (int i = 0; i < ids.size(); i++) {
        assertEquals(first.answers.get(ids.get(i)).body().text(), "answer to body " + i);
      }
      assertNoViolations();
    }

    /** An instance without free slots uses slots of the other one by forwarding requests. */
    @Test
    public void busyInstancesForwardRequests() {
      endpoints.forEach(endpoint -> endpoint.millis = 200);
      for (int i = 0; i < 8; i++) {
        simulation.request(first, "check", "", "body " + i, 0);
      }
      simulation.run(150);
      int busy = endpoints.stream().mapToInt(FakeEndpoint::busy).sum();
      assertEquals(busy, 8);
      assertNoViolations();
    }

    /**
     * Guards against a caller that is left in doubt although nothing ran. The request was forwarded
     * to an instance that lost its endpoints meanwhile and may not forward it again, so it must be
     * returned at once as not run.
     */
    @Test
    public void forwardedRequestWithoutEndpointIsRefused() {
      Simulation empty = new Simulation();
      Node node = empty.start("c:1");
      empty.run(5_000);
      node.accept(
          new PeerEvent.Received(
              new InstanceId("other"),
              "d:1",
              new PeerMessage.Forward(
                  new AttemptId("other-1"),
                  new CallerId("caller"),
                  new RowName("transfer"),
                  "k",
                  2_000,
                  Payload.of("once 1"))));
      assertTrue(node.state().requests().open().isEmpty());
    }

    /**
     * A request that cannot be served before its deadline is refused at once with a retry delay.
     */
    @Test
    public void overloadIsRefusedAtOnce() {
      endpoints.forEach(endpoint -> endpoint.millis = 500);
      for (int i = 0; i < 60; i++) {
        simulation.request(first, "check", "", "warm " + i, 2_000);
        simulation.run(40);
      }
      for (int i = 0; i < 100; i++) {
        simulation.request(first, "check", "", "body " + i, 2_000);
      }
      long refused =
          first.answers.values().stream().filter(a -> a.code() == Code.OVERLOADED).count();
      assertTrue(refused > 50, "refused at once: " + refused);
      assertTrue(
          first.answers.values().stream()
              .filter(a -> a.code() == Code.OVERLOADED)
              .allMatch(a -> a.retryAfterMillis() > 0));
      assertNoViolations();
    }

    /** Requests that can never run are refused with a specific code. */
    @Test
    public void badRequestsAreRefusedAsNotRun() {
      assertEquals(
          answer(first, simulation.request(first, "nothing", "", "x", 0)).code(), Code.UNKNOWN_ROW);
      assertEquals(
          answer(first, simulation.request(first, "transfer", "", "x", 0)).code(),
          Code.KEY_REQUIRED);
      assertEquals(
          answer(first, simulation.request(first, "check", "", "x", -1)).code(),
          Code.DEADLINE_PASSED);
      assertEquals(simulation.runs(), 0);
    }
  }

  /** Non-idempotent requests run at most once. */
  public static final class AtMostOnce extends TwoInstances {

    /**
     * Guards against a transfer that is made twice because the caller gets no answer in time and
     * sends the same request to another instance. The claim in the store allows only the first
     * request to run; the second one gets the recorded answer.
     */
    @Test
    public void repeatedRequestGetsTheRecordedAnswer() {
      RequestId id = simulation.request(first, "transfer", "k", "once 1", 0);
      assertEquals(answer(first, id).code(), Code.OK);
      simulation.run(100);
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * A repeated request that arrives while the first copy still runs waits briefly for the outcome
     * of that copy. It gets that answer instead of an answer "in doubt".
     */
    @Test
    public void copyOfRunningRequestGetsItsAnswer() {
      endpoints.forEach(endpoint -> endpoint.millis = 150);
      simulation.request(first, "transfer", "k", "once 1", 0);
      simulation.run(50);
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * Of two copies sent at the same time one runs; both get its answer or an answer "in doubt".
     */
    @Test
    public void twoCopiesAtOnceRunOnce() {
      RequestId one = simulation.request(first, "transfer", "k", "once 1", 0);
      RequestId two = simulation.request(second, "transfer", "k", "once 1", 0);
      simulation.run(1_000);
      assertEquals(simulation.runs("once 1"), 1);
      List<Code> codes = List.of(first.answers.get(one).code(), second.answers.get(two).code());
      assertTrue(codes.contains(Code.OK), codes.toString());
    }

    /** A request with a used key and another body is refused and does not run. */
    @Test
    public void reusedKeyIsRefused() {
      answer(first, simulation.request(first, "transfer", "k", "once 1", 0));
      RequestId other = simulation.request(second, "transfer", "k", "once 2", 0);
      assertEquals(answer(second, other).code(), Code.KEY_REUSED);
      assertEquals(simulation.runs("once 2"), 0);
    }

    /**
     * If an endpoint runs a transfer and its answer is lost, the caller is informed at once that
     * the outcome is unknown. Neither the instance nor a retry of the caller runs the transfer
     * again.
     */
    @Test
    public void lostAnswerIsUnknownAndNotRetried() {
      endpoints.forEach(endpoint -> endpoint.answers = false);
      RequestId id = simulation.request(first, "transfer", "k", "once 1", 0);
      assertEquals(answer(first, id).code(), Code.ENDPOINT_LOST);
      endpoints.forEach(endpoint -> endpoint.answers = true);
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code(), Code.IN_DOUBT);
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * If the instance that holds the claim dies, a retry elsewhere does not run the request again.
     */
    @Test
    public void claimRemainsWhenItsInstanceDies() {
      endpoints.forEach(endpoint -> endpoint.millis = 300);
      simulation.request(first, "transfer", "k", "once 1", 0);
      simulation.until("it runs", () -> simulation.runs("once 1") == 1);
      first.kill();
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code().ran(), Ran.UNKNOWN);
      simulation.run(10_000);
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * The claim takes effect but the store's answer is lost until after the deadline. The caller
     * gets the outcome "not run", which is true because the request is never sent. The claim is
     * released, so that a retry runs, once.
     */
    @Test
    public void claimWithoutAnswerIsReleased() {
      first.storeAnswers = false;
      RequestId id = simulation.request(first, "transfer", "k", "once 1", 300);
      Answer answer = answer(first, id);
      assertEquals(answer.code().ran(), Ran.NOT_RUN);
      assertEquals(simulation.runs("once 1"), 0);
      first.storeAnswers = true;
      simulation.run(5_000);
      assertEquals(simulation.runs("once 1"), 0, "abandoned requests do not run later");
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code(), Code.OK);
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * If the deadline comes while an endpoint has the request, the caller is informed at once that
     * the outcome is unknown. "Not run" would be false, because the request completes soon after.
     */
    @Test
    public void deadlineAtTheEndpointLeavesOutcomeUnknown() {
      endpoints.forEach(endpoint -> endpoint.millis = 1_000);
      RequestId id = simulation.request(first, "transfer", "k", "once 1", 300);
      simulation.run(310);
      assertEquals(first.answers.get(id).code(), Code.DEADLINE_AT_ENDPOINT);
      assertEquals(first.answers.get(id).code().ran(), Ran.UNKNOWN);
      simulation.run(2_000);
      RequestId again = simulation.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(simulation.runs("once 1"), 1);
    }

    /**
     * While the store does not answer, non-idempotent requests are refused at once and others are
     * served.
     */
    @Test
    public void storeOutageRefusesOnlyRequestsThatNeedTheStore() {
      first.storeUp = false;
      simulation.run(1_500);
      RequestId transfer = simulation.request(first, "transfer", "k", "once 1", 0);
      assertEquals(first.answers.get(transfer).code(), Code.STORE_AWAY);
      RequestId check = simulation.request(first, "check", "", "c", 0);
      assertEquals(answer(first, check).code(), Code.OK);
      assertEquals(simulation.runs("once 1"), 0);
    }

    /**
     * If the connection breaks after a transfer was forwarded to the other instance, the transfer
     * may have run there, so its outcome is unknown. Only idempotent requests are retried.
     */
    @Test
    public void brokenConnectionBetweenInstancesIsNotRetried() {
      endpoints.forEach(endpoint -> endpoint.millis = 400);
      for (int i = 0; i < 8; i++) {
        simulation.request(first, "transfer", "k" + i, "once " + i, 0);
      }
      simulation.run(150);
      simulation.breakConnection(first, second);
      simulation.run(3_000);
      long unknown =
          first.answers.values().stream().filter(a -> a.code().ran() == Ran.UNKNOWN).count();
      assertTrue(unknown > 0);
      assertEquals(first.answers.size(), 8);
      assertNoViolations();
    }
  }

  /** Endpoints never get more requests than they have slots, whichever failures they have. */
  public static final class Slots extends TwoInstances {

    /**
     * Guards against an endpoint that gets more requests than it has slots. Requests may still run
     * there after their answers were lost or their deadlines have passed. Each such request
     * occupies its slot until the endpoint itself no longer lists it.
     */
    @Test
    public void lostAnswersKeepTheirSlots() {
      endpoints.forEach(endpoint -> endpoint.millis = 3_000);
      for (int i = 0; i < 30; i++) {
        simulation.request(first, "check", "", "body " + i, 300);
        simulation.request(second, "check", "", "other " + i, 300);
        simulation.run(100);
      }
      simulation.run(10_000);
      endpoints.forEach(endpoint -> endpoint.millis = 5);
      RequestId id = simulation.request(first, "check", "", "last", 0);
      assertEquals(answer(first, id).code(), Code.OK);
      assertNoViolations();
    }

    /** A leaving endpoint gets no new requests and finishes those that it runs. */
    @Test
    public void leavingEndpointGetsNothingNew() {
      simulation.markLeaving("e1");
      simulation.run(2_000);
      for (int i = 0; i < 20; i++) {
        simulation.request(first, "check", "", "body " + i, 0);
        simulation.request(second, "check", "", "other " + i, 0);
        simulation.run(4);
        assertEquals(endpoints.get(0).busy(), 0);
        simulation.run(20);
      }
    }

    /** An endpoint that answers fast with errors does not attract most of the requests. */
    @Test
    public void endpointsWithFastErrorsAreEjected() {
      endpoints.get(0).status = 500;
      endpoints.get(0).millis = 1;
      int bad = 0;
      for (int i = 0; i < 200; i++) {
        Node node = i % 2 == 0 ? first : second;
        RequestId id = simulation.request(node, "check", "", "body " + i, 0);
        bad += answer(node, id).endpointStatus() == 500 ? 1 : 0;
      }
      assertTrue(bad < 30, "errors " + bad);
    }

    /** A request of which no byte was sent is retried elsewhere, whatever its kind. */
    @Test
    public void unreachableEndpointsAreSkipped() {
      endpoints.get(0).reachable = false;
      endpoints.get(1).reachable = false;
      for (int i = 0; i < 10; i++) {
        Node node = i % 2 == 0 ? first : second;
        RequestId id = simulation.request(node, "transfer", "k" + i, "once " + i, 0);
        assertEquals(answer(node, id).code(), Code.OK);
      }
      assertNoViolations();
    }
  }

  /** Fair shares between rows. */
  public static final class Fairness extends TwoInstances {

    /** A flood of requests of one row does not delay the few requests of another row. */
    @Test
    public void floodOfOneRowDoesNotDelayOthers() {
      endpoints.forEach(endpoint -> endpoint.millis = 20);
      for (int i = 0; i < 300; i++) {
        simulation.request(first, "transfer", "k" + i, "once " + i, 0);
      }
      simulation.run(100);
      RequestId id = simulation.request(first, "check", "", "one", 0);
      simulation.run(150);
      assertTrue(first.answers.containsKey(id));
      assertFalse(first.answers.size() > 250, "the flood is still waiting");
      assertNoViolations();
    }
  }
}
