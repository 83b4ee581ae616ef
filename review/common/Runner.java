import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Stand-in for one runner at one address: it starts, stops, ends and lists tasks as PROTOCOL.md
 * says, under leases and fence numbers. After a crash it comes back at the same address under a new
 * identifier. How long a task works is part of the submission's spec, {@code ms=N}.
 */
final class Runner {

  /** What all runners of a deployment share. */
  record Setting(
      String service, int cpu, int memMb, long checkpointMillis, long restoreMillis, String tail) {}

  /** Whether runners start again under the identifier that they had; they say then when they began. */
  static boolean keepsId;

  static int rackSize = 6;

  /** Share of the orders that get no answer now and are carried out seconds later. */
  static volatile double lateShare;

  private static final Random LATE = new Random();
  private static final long MIN_LATE_MILLIS = 2_000;
  private static final int LATE_SPREAD_MILLIS = 10_000;

  private static final long HOLD_MAX_MILLIS = 10_000;
  private static final long PING_MILLIS = 1_100;
  private static final int LISTED_ENDS = 500;

  private record End(long number, String task, int run, String how, String saved) {}

  private static final class Run {
    final String task;
    final int run;
    final long workMillis;
    final long doneBeforeMillis;
    final long startedMillis;

    Run(String task, int run, long workMillis, long doneBeforeMillis, long startedMillis) {
      this.task = task;
      this.run = run;
      this.workMillis = workMillis;
      this.doneBeforeMillis = doneBeforeMillis;
      this.startedMillis = startedMillis;
    }

    long doneMillis(long now) {
      return Math.min(workMillis, doneBeforeMillis + Math.max(0, now - startedMillis));
    }
  }

  final int index;
  private final Setting setting;
  private final Store store;
  private final Ledger ledger;
  private final String zone;
  private HttpServer server;
  private int port;

  private String id = "";
  private int lives;
  private boolean up;
  private long bornNanos;
  private long bornMillis;
  private long leaseEnd;
  private long highestToken;
  private long ends;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<End> listed = new ArrayList<>();

  Runner(int index, Setting setting, Store store, Ledger ledger, String zone) {
    this.index = index;
    this.setting = setting;
    this.store = store;
    this.ledger = ledger;
    this.zone = zone;
  }

  /** Begins the first life of this runner. */
  void begin(int freePort) {
    port = freePort;
    begin();
  }

  /** Begins a life of this runner under a new identifier, at its address. */
  synchronized void begin() {
    lives++;
    id = "i-%04x%04x".formatted(0x7f3a + index, 0x91c2 + (keepsId ? 0 : lives));
    bornNanos = System.nanoTime();
    bornMillis = System.currentTimeMillis();
    leaseEnd = 0;
    highestToken = 0;
    ends = 0;
    running.clear();
    closed.clear();
    listed.clear();
    up = true;
    server = listen();
    store.put("servers", id, entry());
    ledger.runnerBegan(life());
  }

  /** Listens at the address of before; at another one if some other program has taken it. */
  private HttpServer listen() {
    try {
      return Http.serve(port, this::handle);
    } catch (UncheckedIOException e) {
      port = Deployment.freePort();
      return Http.serve(port, this::handle);
    }
  }

  private Map<String, Object> entry() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", setting.service());
    entry.put("address", Http.HOST + ":" + port);
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", "ready");
    entry.put("cold_left_ms", 0);
    entry.put("capacity", Map.of("cpu", setting.cpu(), "mem_mb", setting.memMb(), "gpu", 0));
    entry.put("labels", List.of("a", rack(index)));
    entry.put("seq", 1);
    if (keepsId) {
      entry.put("born", bornMillis);
    }
    return entry;
  }

  static String rack(int index) {
    return "r" + index / rackSize + "-1";
  }

  /** Returns the name of this life, for the record. */
  private String life() {
    return keepsId ? id + "/" + bornMillis : id;
  }

  synchronized boolean isUp() {
    return up;
  }

  /** Ends this life without a word: all that runs here is gone. The entry stays until it expires. */
  void crash() {
    HttpServer ended;
    String endedId;
    synchronized (this) {
      if (!up) {
        return;
      }
      up = false;
      ledger.crashed(life(), List.copyOf(running.keySet()));
      running.clear();
      ended = server;
      endedId = id;
      notifyAll();
    }
    ended.stop(0);
    Thread expiry =
        new Thread(
            () -> {
              Http.sleep(3 * PING_MILLIS);
              if (!isUp() || !keepsId) {
                store.remove("servers", endedId);
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  private long clock() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  /** Ends what is due; called every few milliseconds. */
  synchronized void tick() {
    if (!up) {
      return;
    }
    long now = clock();
    for (Run run : List.copyOf(running.values())) {
      if (run.doneMillis(now) >= run.workMillis) {
        end(run, "done");
      } else if (now > leaseEnd) {
        end(run, "lapsed");
      }
    }
    if (now > leaseEnd) {
      ledger.lapsed(life());
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    closed.merge(run.task, run.run, Math::max);
    ends++;
    listed.add(new End(ends, run.task, run.run, how, checkpoint(run, how.equals("stopped"))));
    ledger.ended(life(), run.task, run.run, how);
    notifyAll();
  }

  private String checkpoint(Run run, boolean now) {
    if (setting.checkpointMillis() == 0) {
      return "";
    }
    long done = run.doneMillis(clock());
    long saved =
        now ? done : Math.max(run.doneBeforeMillis, done - done % setting.checkpointMillis());
    return saved == 0 ? "" : "%016x".formatted(saved) + setting.tail();
  }

  private static long savedMillis(String checkpoint) {
    return checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 16), 16);
  }

  private void handle(HttpExchange exchange) throws IOException {
    Map<String, Object> order = Json.object(Http.body(exchange));
    if (LATE.nextDouble() < lateShare) {
      carryOutLate(exchange.getRequestURI().getPath(), order);
      exchange.close();
      return;
    }
    String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
    Map<String, Object> answer = new LinkedHashMap<>();
    int status;
    synchronized (this) {
      if (!up) {
        exchange.close();
        return;
      }
      if (expected != null && !expected.equals(id)) {
        status = 421;
      } else {
        status = carryOut(exchange.getRequestURI().getPath(), order, answer);
      }
      answer.put("clock_ms", clock());
      if (keepsId) {
        answer.put("born", bornMillis);
      }
      if (!up) {
        exchange.close();
        return;
      }
    }
    Http.answer(exchange, status, answer);
  }

  /** Carries out an order 2 to 12 s later, by the life of that time, and answers nothing. */
  private void carryOutLate(String path, Map<String, Object> order) {
    order.remove("wait_ms");
    long wait = MIN_LATE_MILLIS + LATE.nextInt(LATE_SPREAD_MILLIS);
    String text = path + " " + Json.write(order);
    ledger.note("no answer to " + text + " for " + life() + ", due in " + wait + " ms");
    Http.sleep(wait);
    synchronized (this) {
      if (up) {
        int status = carryOut(path, order, new LinkedHashMap<>());
        ledger.note("carried out late by " + life() + ": " + text + " -> " + status);
      }
    }
  }

  private int carryOut(String path, Map<String, Object> order, Map<String, Object> answer) {
    long token = Json.number(order, "fencing_token");
    if (token < highestToken) {
      return refuse(answer, "fence");
    }
    highestToken = token;
    return switch (path) {
      case "/-/run-start" -> start(order, answer);
      case "/-/run-stop" -> stop(order);
      case "/-/pace" -> 200;
      case "/-/hold" -> hold(order, answer);
      default -> 404;
    };
  }

  private static int refuse(Map<String, Object> answer, String reason) {
    answer.put("reason", reason);
    return 409;
  }

  private int start(Map<String, Object> order, Map<String, Object> answer) {
    String task = Json.string(order, "task");
    int run = (int) Json.number(order, "run");
    Run present = running.get(task);
    if (present != null && present.run == run) {
      extendLease(order);
      return 200;
    }
    if (run <= closed.getOrDefault(task, 0)) {
      extendLease(order);
      return refuse(answer, "old");
    }
    if (Json.number(order, "deadline_ms") <= clock()) {
      return refuse(answer, "late");
    }
    extendLease(order);
    String spec = Json.string(order, "spec");
    long before = savedMillis(Json.string(order, "last_checkpoint"));
    long wait = before > 0 ? setting.restoreMillis() : 0;
    running.put(task, new Run(task, run, workMillis(spec), before, clock() + wait));
    ledger.started(life(), task, run, spec);
    return 200;
  }

  static long workMillis(String spec) {
    for (String word : spec.split(" ")) {
      if (word.startsWith("ms=")) {
        return Long.parseLong(word.substring(3));
      }
    }
    throw new IllegalArgumentException("a spec that no client sent: " + spec);
  }

  private int stop(Map<String, Object> order) {
    String task = Json.string(order, "task");
    int number = (int) Json.number(order, "run");
    closed.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.run <= number) {
      end(run, "stopped");
    }
    return 200;
  }

  private void extendLease(Map<String, Object> order) {
    long asked = Math.min(Json.number(order, "deadline_ms"), clock() + HOLD_MAX_MILLIS);
    leaseEnd = Math.max(leaseEnd, asked);
  }

  private int hold(Map<String, Object> order, Map<String, Object> answer) {
    extendLease(order);
    long cursor = Json.number(order, "ack_cursor");
    for (End end : listed) {
      if (end.number() <= cursor) {
        ledger.acknowledged(life(), end.task(), end.run(), end.how());
      }
    }
    listed.removeIf(end -> end.number() <= cursor);
    long until = clock() + Math.min(2_000, Json.number(order, "wait_ms"));
    while (up && listed.isEmpty() && clock() < until) {
      try {
        wait(Math.max(1, until - clock()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    List<Object> runs = new ArrayList<>();
    long now = clock();
    for (Run run : running.values()) {
      long percent = 100 * run.doneMillis(now) / Math.max(1, run.workMillis);
      runs.add(List.of(run.task, run.run, checkpoint(run, false), percent, 500));
    }
    List<Object> all = new ArrayList<>();
    listed.stream()
        .limit(LISTED_ENDS)
        .forEach(e -> all.add(List.of(e.number(), e.task(), e.run(), e.how(), e.saved())));
    answer.put("running", runs);
    answer.put("ended", all);
    return 200;
  }
}
