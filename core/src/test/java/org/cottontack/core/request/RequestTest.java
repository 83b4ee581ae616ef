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
import org.cottontack.core.lab.FakeEndpoint;
import org.cottontack.core.lab.Lab;
import org.cottontack.core.lab.Node;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Three outcomes, never merged; at most once; whole answers; true refusals. */
public final class RequestTest {

  private RequestTest() {}

  /** A lab with two entry instances and four endpoints of two slots. */
  public abstract static class TwoInstances {

    Lab lab;
    Node first;
    Node second;
    List<FakeEndpoint> endpoints;

    /** Starts everything and waits until all endpoints are held. */
    @BeforeMethod
    public void start() {
      lab = new Lab();
      endpoints = List.of("e1", "e2", "e3", "e4").stream().map(n -> lab.endpoint(n, 2)).toList();
      first = lab.start("a:1");
      second = lab.start("b:1");
      lab.until(
          "all is held",
          () -> first.state().fleet().heldSlots() + second.state().fleet().heldSlots() == 8);
      lab.run(1_000);
    }

    Answer answer(Node node, RequestId id) {
      lab.until("an answer", () -> node.answers.containsKey(id));
      return node.answers.get(id);
    }

    void assertNothingBroken() {
      assertEquals(lab.violations(), List.of());
    }
  }

  /** The plain way of a request. */
  public static final class Plain extends TwoInstances {

    /** Every caller gets the answer to its own request. */
    @Test
    public void eachCallerGetsItsOwnAnswer() {
      List<RequestId> ids =
          IntStream.range(0, 40)
              .mapToObj(i -> lab.request(first, "check", "", "body " + i, 0))
              .toList();
      lab.run(1_000);
      for (int i = 0; i < ids.size(); i++) {
        assertEquals(first.answers.get(ids.get(i)).body().text(), "answer to body " + i);
      }
      assertNothingBroken();
    }

    /** One instance uses slots of the other by handing requests on. */
    @Test
    public void busyInstancesHandRequestsOn() {
      endpoints.forEach(endpoint -> endpoint.millis = 200);
      for (int i = 0; i < 8; i++) {
        lab.request(first, "check", "", "body " + i, 0);
      }
      lab.run(150);
      int busy = endpoints.stream().mapToInt(FakeEndpoint::busy).sum();
      assertEquals(busy, 8);
      assertNothingBroken();
    }

    /**
     * A caller is left in doubt although nothing ran. A request was handed to an instance that lost
     * its endpoints meanwhile and may not hand it on; it must go back at once as not run.
     */
    @Test
    public void handedOverRequestWithoutEndpointGoesBack() {
      Lab empty = new Lab();
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

    /** What cannot be served before its deadline is refused at once, with when to come back. */
    @Test
    public void overloadIsRefusedAtOnce() {
      endpoints.forEach(endpoint -> endpoint.millis = 500);
      for (int i = 0; i < 60; i++) {
        lab.request(first, "check", "", "warm " + i, 2_000);
        lab.run(40);
      }
      for (int i = 0; i < 100; i++) {
        lab.request(first, "check", "", "body " + i, 2_000);
      }
      long refused =
          first.answers.values().stream().filter(a -> a.code() == Code.OVERLOADED).count();
      assertTrue(refused > 50, "refused at once: " + refused);
      assertTrue(
          first.answers.values().stream()
              .filter(a -> a.code() == Code.OVERLOADED)
              .allMatch(a -> a.retryAfterMillis() > 0));
      assertNothingBroken();
    }

    /** Clear refusals for what can never run. */
    @Test
    public void badRequestsAreRefusedAsNotRun() {
      assertEquals(
          answer(first, lab.request(first, "nothing", "", "x", 0)).code(), Code.UNKNOWN_ROW);
      assertEquals(
          answer(first, lab.request(first, "transfer", "", "x", 0)).code(), Code.KEY_REQUIRED);
      assertEquals(
          answer(first, lab.request(first, "check", "", "x", -1)).code(), Code.DEADLINE_PASSED);
      assertEquals(lab.runs(), 0);
    }
  }

  /** Non-idempotent requests run at most once. */
  public static final class AtMostOnce extends TwoInstances {

    /**
     * A transfer is made twice. The caller gets no answer in time and sends the same request to
     * another instance. The claim in the store lets only the first one through; the second caller
     * gets the recorded answer.
     */
    @Test
    public void repeatedRequestGetsTheRecordedAnswer() {
      RequestId id = lab.request(first, "transfer", "k", "once 1", 0);
      assertEquals(answer(first, id).code(), Code.OK);
      lab.run(100);
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(lab.runs("once 1"), 1);
    }

    /**
     * A repeated request arrives while the first copy still runs. It waits for that copy's outcome
     * a moment and gets its answer, rather than being left in doubt at once.
     */
    @Test
    public void copyOfRunningRequestGetsItsAnswer() {
      endpoints.forEach(endpoint -> endpoint.millis = 150);
      lab.request(first, "transfer", "k", "once 1", 0);
      lab.run(50);
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(lab.runs("once 1"), 1);
    }

    /** Both copies at the same moment: one runs, both get its answer or are told of the doubt. */
    @Test
    public void twoCopiesAtOnceRunOnce() {
      RequestId one = lab.request(first, "transfer", "k", "once 1", 0);
      RequestId two = lab.request(second, "transfer", "k", "once 1", 0);
      lab.run(1_000);
      assertEquals(lab.runs("once 1"), 1);
      List<Code> codes = List.of(first.answers.get(one).code(), second.answers.get(two).code());
      assertTrue(codes.contains(Code.OK), codes.toString());
    }

    /** The same key with another body is refused and does not run. */
    @Test
    public void reusedKeyIsRefused() {
      answer(first, lab.request(first, "transfer", "k", "once 1", 0));
      RequestId other = lab.request(second, "transfer", "k", "once 2", 0);
      assertEquals(answer(second, other).code(), Code.KEY_REUSED);
      assertEquals(lab.runs("once 2"), 0);
    }

    /**
     * The endpoint runs a transfer and its answer is lost. The caller is told at once that the
     * outcome is unknown; the transfer is not tried again, here or by a retry of the caller.
     */
    @Test
    public void lostAnswerIsUnknownAndNotRetried() {
      endpoints.forEach(endpoint -> endpoint.answers = false);
      RequestId id = lab.request(first, "transfer", "k", "once 1", 0);
      assertEquals(answer(first, id).code(), Code.ENDPOINT_LOST);
      endpoints.forEach(endpoint -> endpoint.answers = true);
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code(), Code.IN_DOUBT);
      assertEquals(lab.runs("once 1"), 1);
    }

    /** The instance that holds the claim dies; a retry elsewhere does not run it again. */
    @Test
    public void claimOutlivesItsProcess() {
      endpoints.forEach(endpoint -> endpoint.millis = 300);
      lab.request(first, "transfer", "k", "once 1", 0);
      lab.until("it runs", () -> lab.runs("once 1") == 1);
      first.kill();
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code().ran(), Ran.UNKNOWN);
      lab.run(10_000);
      assertEquals(lab.runs("once 1"), 1);
    }

    /**
     * The claim takes effect but its answer is lost until after the deadline. The caller is told
     * "not run", which is true: the request is never sent. The claim is given back, so that a retry
     * runs, once.
     */
    @Test
    public void claimWithoutAnswerIsGivenBack() {
      first.storeAnswers = false;
      RequestId id = lab.request(first, "transfer", "k", "once 1", 300);
      Answer answer = answer(first, id);
      assertEquals(answer.code().ran(), Ran.NOT_RUN);
      assertEquals(lab.runs("once 1"), 0);
      first.storeAnswers = true;
      lab.run(5_000);
      assertEquals(lab.runs("once 1"), 0, "given up requests do not run later");
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).code(), Code.OK);
      assertEquals(lab.runs("once 1"), 1);
    }

    /**
     * The deadline comes while the endpoint has the request. The caller is told at once that the
     * outcome is unknown; "not run" would be a lie, as the request ends soon after.
     */
    @Test
    public void deadlineAtTheEndpointIsDoubt() {
      endpoints.forEach(endpoint -> endpoint.millis = 1_000);
      RequestId id = lab.request(first, "transfer", "k", "once 1", 300);
      lab.run(310);
      assertEquals(first.answers.get(id).code(), Code.DEADLINE_AT_ENDPOINT);
      assertEquals(first.answers.get(id).code().ran(), Ran.UNKNOWN);
      lab.run(2_000);
      RequestId again = lab.request(second, "transfer", "k", "once 1", 0);
      assertEquals(answer(second, again).body().text(), "answer to once 1");
      assertEquals(lab.runs("once 1"), 1);
    }

    /** While the store is away such requests are refused at once, and others are served. */
    @Test
    public void anOutageRefusesOnlyWhatNeedsTheStore() {
      first.storeUp = false;
      lab.run(1_500);
      RequestId transfer = lab.request(first, "transfer", "k", "once 1", 0);
      assertEquals(first.answers.get(transfer).code(), Code.STORE_AWAY);
      RequestId check = lab.request(first, "check", "", "c", 0);
      assertEquals(answer(first, check).code(), Code.OK);
      assertEquals(lab.runs("once 1"), 0);
    }

    /**
     * A transfer was handed to the other instance and the connection breaks. It may have run there,
     * so its outcome is unknown; an idempotent request is simply tried again.
     */
    @Test
    public void brokenConnectionBetweenInstancesIsNotRetried() {
      endpoints.forEach(endpoint -> endpoint.millis = 400);
      for (int i = 0; i < 8; i++) {
        lab.request(first, "transfer", "k" + i, "once " + i, 0);
      }
      lab.run(150);
      lab.breakConnection(first, second);
      lab.run(3_000);
      long unknown =
          first.answers.values().stream().filter(a -> a.code().ran() == Ran.UNKNOWN).count();
      assertTrue(unknown > 0);
      assertEquals(first.answers.size(), 8);
      assertNothingBroken();
    }
  }

  /** Slots are never oversubscribed, whatever endpoints do. */
  public static final class Slots extends TwoInstances {

    /**
     * An endpoint is overfilled. Answers are lost while requests still run there; each such request
     * keeps its slot until the endpoint itself no longer lists it.
     */
    @Test
    public void lostAnswersKeepTheirSlots() {
      endpoints.forEach(endpoint -> endpoint.millis = 3_000);
      for (int i = 0; i < 30; i++) {
        lab.request(first, "check", "", "body " + i, 300);
        lab.request(second, "check", "", "other " + i, 300);
        lab.run(100);
      }
      lab.run(10_000);
      endpoints.forEach(endpoint -> endpoint.millis = 5);
      RequestId id = lab.request(first, "check", "", "last", 0);
      assertEquals(answer(first, id).code(), Code.OK);
      assertNothingBroken();
    }

    /** An endpoint that leaves gets nothing new; what it runs is finished. */
    @Test
    public void leavingEndpointGetsNothingNew() {
      lab.leaving("e1");
      lab.run(2_000);
      for (int i = 0; i < 20; i++) {
        lab.request(first, "check", "", "body " + i, 0);
        lab.request(second, "check", "", "other " + i, 0);
        lab.run(4);
        assertEquals(endpoints.get(0).busy(), 0);
        lab.run(20);
      }
    }

    /** An endpoint that answers errors fast does not attract the traffic. */
    @Test
    public void fastErrorsAreEjected() {
      endpoints.get(0).status = 500;
      endpoints.get(0).millis = 1;
      int bad = 0;
      for (int i = 0; i < 200; i++) {
        Node node = i % 2 == 0 ? first : second;
        RequestId id = lab.request(node, "check", "", "body " + i, 0);
        bad += answer(node, id).endpointStatus() == 500 ? 1 : 0;
      }
      assertTrue(bad < 30, "errors " + bad);
    }

    /** A request of which nothing left is tried elsewhere, whatever its kind. */
    @Test
    public void unreachableEndpointsAreSkipped() {
      endpoints.get(0).reachable = false;
      endpoints.get(1).reachable = false;
      for (int i = 0; i < 10; i++) {
        Node node = i % 2 == 0 ? first : second;
        RequestId id = lab.request(node, "transfer", "k" + i, "once " + i, 0);
        assertEquals(answer(node, id).code(), Code.OK);
      }
      assertNothingBroken();
    }
  }

  /** Fair shares between rows. */
  public static final class Fairness extends TwoInstances {

    /** A flood of one row does not hold up another row's few requests. */
    @Test
    public void floodDoesNotHoldUpOthers() {
      endpoints.forEach(endpoint -> endpoint.millis = 20);
      for (int i = 0; i < 300; i++) {
        lab.request(first, "transfer", "k" + i, "once " + i, 0);
      }
      lab.run(100);
      RequestId id = lab.request(first, "check", "", "one", 0);
      lab.run(150);
      assertTrue(first.answers.containsKey(id));
      assertFalse(first.answers.size() > 250, "the flood is still waiting");
      assertNothingBroken();
    }
  }
}
