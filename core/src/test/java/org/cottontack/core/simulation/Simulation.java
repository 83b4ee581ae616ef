package org.cottontack.core.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cottontack.core.Effect;
import org.cottontack.core.Event;
import org.cottontack.core.Settings;
import org.cottontack.core.fleet.FleetEffect;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.fleet.MemberInfo;
import org.cottontack.core.fleet.MemberKind;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.peer.PeerEffect;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.request.RequestEvent;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.cottontack.core.store.Write;
import org.cottontack.core.table.TableEffect;
import org.cottontack.core.table.TablePointer;
import org.cottontack.core.table.TableRecord;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.core.task.TaskEvent;
import org.cottontack.core.task.TaskPhase;
import org.cottontack.core.task.TaskRecord;
import org.cottontack.core.task.WorkerEvent;

/** Simulates entry instances, a store, workers and endpoints under one virtual clock. */
public final class Simulation {

  /** Wall time at which the virtual clock reads 0. */
  public static final long WALL_START = 1_800_000_000_000L;

  /** Ownership lease of the entry instances, in milliseconds. */
  public static final long LEASE = 3_000;

  /** Lease of tasks at workers, in milliseconds. */
  public static final long TASK_LEASE = 8_000;

  /** Maximum cover by promises, in milliseconds. */
  public static final long HORIZON = 60_000;

  private static final long LATENCY = 2;
  private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");

  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
  private final Map<String, Boolean> leaving = new TreeMap<>();
  private final Map<String, Integer> requestRuns = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private final List<Runnable> withheldOrders = new ArrayList<>();
  private final Set<Set<String>> disconnected = new HashSet<>();
  private final FakeStore store = new FakeStore();
  private long now;
  private long nextSequence;
  private long lastNumber;

  /** Creates a data centre whose store already contains a table. */
  public Simulation() {
    TableRecord table = new TableRecord(1, "lab", WALL_START, SimulationTable.content());
    store.commit(
        List.of(
            new Write(
                "lab",
                List.of(
                    Mutation.put(StoreKey.table(), 0, new TablePointer(1, "lab")),
                    Mutation.put(StoreKey.tableHistory(1), 0, table)),
                null)));
  }

  /** Adds a worker. */
  public FakeWorker worker(String name, int cores) {
    FakeWorker worker = new FakeWorker(name, new Demand(cores * 1_000, 64_000, 1), this);
    workers.put(name, worker);
    return worker;
  }

  /** Adds an endpoint. */
  public FakeEndpoint endpoint(String name, int slots) {
    FakeEndpoint endpoint = new FakeEndpoint(name, slots, this);
    endpoints.put(name, endpoint);
    return endpoint;
  }

  /** Starts an entry instance at an address. */
  public Node start(String address) {
    InstanceId self = new InstanceId(address + "-" + ++lastNumber);
    Settings settings =
        new Settings(self, DATA_CENTRE, address, LEASE, 300, HORIZON, 500, TASK_LEASE, 10, 1_000);
    Node node = new Node(this, settings);
    nodes.add(node);
    node.accept(new OwnershipEvent.Start());
    return node;
  }

  /** Marks a worker or an endpoint as leaving. */
  public void markLeaving(String name) {
    leaving.put(name, true);
  }

  /** Returns the store. */
  public FakeStore store() {
    return store;
  }

  /** Returns the violated invariants; workers and endpoints detect most of them themselves. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how often the request with a body ran. */
  public int runs(String body) {
    return requestRuns.getOrDefault(body, 0);
  }

  /** Returns how many requests ran; a request that ran twice counts twice. */
  public int runs() {
    return requestRuns.values().stream().mapToInt(Integer::intValue).sum();
  }

  long now() {
    return now;
  }

  void violation(String what) {
    violations.add(now + ": " + what);
  }

  void requestRan(String body) {
    int runs = requestRuns.merge(body, 1, Integer::sum);
    if (runs > 1 && body.startsWith("once")) {
      violation("request " + body + " ran " + runs + " times");
    }
  }

  void taskStarted(String task, String worker) {
    long others = workers.values().stream().filter(w -> w.running(task)).count();
    if (others > 1) {
      violation("task " + task + " runs in " + others + " places, last on " + worker);
    }
  }

  /** Advances the virtual time and runs everything that is due meanwhile. */
  public void run(long millis) {
    long end = now + millis;
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      step();
    }
    now = end;
    workers.values().forEach(worker -> worker.tick(now));
  }

  /** Advances the virtual time until a condition holds; fails after a minute of virtual time. */
  public void until(String what, BooleanSupplier condition) {
    long end = now + 60_000;
    while (!condition.getAsBoolean()) {
      if (queue.isEmpty() || queue.peek().at() > end) {
        throw new AssertionError("did not happen within a minute: " + what);
      }
      step();
    }
  }

  private void step() {
    ScheduledAction next = queue.remove();
    now = next.at();
    workers.values().forEach(worker -> worker.tick(now));
    next.action().run();
  }

  /** Schedules an action after a delay in virtual time. */
  public void after(long millis, Runnable action) {
    queue.add(new ScheduledAction(now + millis, nextSequence++, action));
  }

  /** Delivers the withheld orders to workers and endpoints. */
  public void releaseOrders() {
    List<Runnable> orders = List.copyOf(withheldOrders);
    withheldOrders.clear();
    orders.forEach(Runnable::run);
  }

  /** Sends a request; its answer will be among the node's answers. */
  public RequestId request(Node node, String row, String key, String body, long millis) {
    RequestId id = new RequestId(++lastNumber);
    node.accept(
        new RequestEvent.Arrived(
            id,
            new CallerId("caller"),
            new RowName(row),
            key,
            "hash of " + body,
            millis,
            Payload.of(body)));
    return id;
  }

  /** Submits a task; the answer will be among the node's tickets. */
  public long submit(Node node, String task, String row) {
    long ticket = ++lastNumber;
    node.accept(
        new TaskEvent.SubmitAsked(ticket, new TaskId(task), new RowName(row), "input", null));
    return ticket;
  }

  /** Cancels a task; the answer will be among the node's tickets. */
  public long cancel(Node node, String task) {
    long ticket = ++lastNumber;
    node.accept(new TaskEvent.CancelAsked(ticket, new TaskId(task)));
    return ticket;
  }

  /** Returns the record of a task, live or ended. */
  public TaskRecord task(String name) {
    TaskId id = new TaskId(name);
    return store
        .value(StoreKey.task(DATA_CENTRE, id), TaskRecord.class)
        .or(() -> store.value(StoreKey.endedTask(DATA_CENTRE, id), TaskRecord.class))
        .orElseThrow(() -> new AssertionError("no record of task " + name));
  }

  /** Returns whether a task has a record in this phase. */
  public boolean taskIs(String name, TaskPhase phase) {
    TaskId id = new TaskId(name);
    return Stream.of(StoreKey.task(DATA_CENTRE, id), StoreKey.endedTask(DATA_CENTRE, id))
        .flatMap(key -> store.value(key, TaskRecord.class).stream())
        .anyMatch(record -> record.phase() == phase);
  }

  /** Returns whether some worker runs a task. */
  public boolean taskRuns(String name) {
    return workers.values().stream().anyMatch(worker -> worker.running(name));
  }

  void execute(Node node, Effect effect) {
    if (effect instanceof Effect.After after) {
      after(after.millis(), () -> node.accept(after.event()));
    } else if (effect instanceof StoreEffect.Commit commit) {
      commit(node, commit);
    } else if (effect instanceof StoreEffect.Scan scan) {
      scan(node, scan);
    } else if (effect instanceof PeerEffect.Send send) {
      send(node, send);
    } else if (effect instanceof FleetEffect.FetchList) {
      reply(node, () -> node.storeUp, () -> new FleetEvent.Listed(members()));
    } else if (effect instanceof RequestEffect.Reply reply) {
      if (node.answers.put(reply.id(), reply.answer()) != null) {
        violation("two answers to " + reply.id());
      }
    } else if (effect instanceof TaskEffect.Answered answered) {
      node.tickets.putIfAbsent(answered.ticket(), answered);
    } else if (effect instanceof TableEffect.EditAnswered edited) {
      node.edits.put(edited.ticket(), edited);
    } else if (effect instanceof Effect.Halt) {
      node.halted();
    } else {
      SimulationOrders.execute(this, node, effect);
    }
  }

  /**
   * Sends an order. It may be withheld until {@link #releaseOrders}, and it arrives even if its
   * sender no longer exists.
   */
  void order(Node node, Runnable arrival) {
    if (node.ordersWithheld) {
      withheldOrders.add(arrival);
    } else {
      after(node.orderDelay, arrival);
    }
  }

  void reply(Node node, BooleanSupplier condition, Supplier<Event> event) {
    after(
        LATENCY,
        () -> {
          if (condition.getAsBoolean()) {
            node.accept(event.get());
          }
        });
  }

  private void commit(Node node, StoreEffect.Commit commit) {
    after(
        LATENCY,
        () -> {
          if (!node.storeUp) {
            after(LATENCY, () -> node.accept(new StoreEvent.Unanswered(commit.batch())));
            return;
          }
          List<StoreRow> conflicts = store.commit(commit.writes());
          Event answer =
              conflicts.isEmpty()
                  ? new StoreEvent.Committed(commit.batch())
                  : new StoreEvent.Conflicted(commit.batch(), conflicts);
          boolean answered = node.storeAnswers && !losesAnswer(node, commit);
          after(
              LATENCY,
              () -> node.accept(answered ? answer : new StoreEvent.Unanswered(commit.batch())));
        });
  }

  private static boolean losesAnswer(Node node, StoreEffect.Commit commit) {
    boolean matches =
        !node.loseNextAnswerAbout.isEmpty()
            && commit.writes().toString().contains(node.loseNextAnswerAbout);
    node.loseNextAnswerAbout = matches ? "" : node.loseNextAnswerAbout;
    return matches;
  }

  private void scan(Node node, StoreEffect.Scan scan) {
    after(
        LATENCY,
        () -> {
          Event answer =
              node.storeUp && node.storeAnswers
                  ? new StoreEvent.Scanned(scan.purpose(), store.scan(scan.prefix()))
                  : new StoreEvent.ScanFailed(scan.purpose());
          after(node.scanDelay, () -> node.accept(answer));
        });
  }

  /** Disconnects two entry instances from each other. */
  public void disconnect(Node one, Node other) {
    disconnected.add(Set.of(one.address(), other.address()));
  }

  private boolean connected(Node one, Node other) {
    return !disconnected.contains(Set.of(one.address(), other.address()));
  }

  private void send(Node from, PeerEffect.Send send) {
    InstanceId self = from.state().ownership().self();
    boolean reachable = target(from, send.address()).isPresent();
    after(
        LATENCY,
        () ->
            target(from, send.address())
                .ifPresentOrElse(
                    to -> to.accept(new PeerEvent.Received(self, from.address(), send.message())),
                    () -> from.accept(notReceived(send, reachable))));
  }

  private Optional<Node> target(Node from, String address) {
    return nodes.stream()
        .filter(node -> node.address().equals(address))
        .filter(Node::connected)
        .filter(node -> from.networkUp && connected(from, node))
        .findFirst();
  }

  /**
   * Returns the event for a message that was not received. A message that was sent before the
   * connection broke may have arrived. A message for which there was no connection was not sent.
   */
  private static Event notReceived(PeerEffect.Send send, boolean wasSent) {
    return wasSent
        ? new PeerEvent.Lost(send.address())
        : new PeerEvent.Undelivered(send.address(), send.message());
  }

  /** Notifies an instance that its connection to another one broke. */
  public void breakConnection(Node node, Node other) {
    node.accept(new PeerEvent.Lost(other.address()));
  }

  FakeWorker workerNamed(String name) {
    return workers.get(name);
  }

  FakeEndpoint endpointNamed(String name) {
    return endpoints.get(name);
  }

  private List<MemberInfo> members() {
    return Stream.concat(
            workers.entrySet().stream()
                .map(e -> member(MemberKind.WORKER, e.getKey(), 0, e.getValue().capacity())),
            endpoints.entrySet().stream()
                .map(
                    e ->
                        member(MemberKind.ENDPOINT, e.getKey(), e.getValue().slots(), Demand.NONE)))
        .toList();
  }

  private MemberInfo member(MemberKind kind, String name, int slots, Demand capacity) {
    return new MemberInfo(
        kind, name, DATA_CENTRE, name, leaving.containsKey(name), slots, capacity, "rack");
  }

  /** Returns a report event with the current state of a worker. */
  static Event report(FakeWorker worker, TaskEffect.PollWorker poll, long now) {
    return new WorkerEvent.Reported(
        poll.worker(), poll.askedAt(), worker.boot(), now, worker.reports());
  }
}
