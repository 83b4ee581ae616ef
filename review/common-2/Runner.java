import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Stand-in for a runner: starts, stops, leases, numbered ends. It doesn't guard its capacity. */
final class Runner {

  static final long MAX_LEASE_MILLIS = 10_000;
  private static final long STOP_MILLIS = 50;

  /** Work from which on a task counts as one that lasts. */
  private static final long LASTS_MILLIS = 600_000;

  /** A run, with the time at which its work is done, on the runner's clock. */
  record Run(String task, int number, long startMillis, long doneMillis) {

    /** Returns how much of the work is done; a task that lasts is at work at once. */
    long percent(long clock) {
      long work = doneMillis - startMillis;
      return work >= LASTS_MILLIS ? 100 : Math.min(99, 100 * (clock - startMillis) / work);
    }
  }

  record End(long number, String task, int run, String how) {}

  /** What all lives of a runner share. */
  record Site(Store store, String service, String zone, int cpu, ToLongFunction<String> workMillis) {}

  final String id;
  final List<String> labels;
  private final Site site;
  private final int port;
  private long born;
  private long bornNanos;
  private Web web;
  private boolean up;
  private boolean unhealthy;
  private boolean draining;
  private boolean holdsBack;

  /** A hold that got no answer and is carried out late, by whichever life is there then. */
  private Map<String, Object> late;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Run> stopping = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<End> ended = new ArrayList<>();
  private long ends;
  private long acked;
  private long token;
  private long leaseEnd;

  Runner(Site site, String id, List<String> labels) throws IOException {
    this.site = site;
    this.id = id;
    this.labels = labels;
    this.port = Web.freePort();
  }

  /** Starts a life of the runner; it holds and knows nothing of earlier ones. */
  synchronized void start() throws IOException {
    born = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    running.clear();
    stopping.clear();
    closed.clear();
    ended.clear();
    ends = 0;
    acked = 0;
    token = 0;
    leaseEnd = 0;
    up = true;
    draining = false;
    web = new Web(port, this::handle);
    if (late != null) {
      acked = Json.number(late, "ack_cursor");
      token = Json.number(late, "fencing_token");
      Rec.log(id + " carries out late: hold " + late);
      late = null;
    }
    register();
    Thread ticker = new Thread(() -> tick(born));
    ticker.setDaemon(true);
    ticker.start();
    Rec.log(id + " starts, born " + born);
  }

  /** Leaves the next hold that acknowledges ends unanswered; it is carried out late. */
  synchronized void holdBack() {
    holdsBack = true;
  }

  synchronized boolean heldBack() {
    return late != null;
  }

  /** Ends this life with all its runs; its entry in the store stays until the store drops it. */
  void crash() {
    synchronized (this) {
      up = false;
      running.values().forEach(run -> Rec.log(id + " crashes under " + run.task() + " run " + run.number()));
      running.clear();
      notifyAll();
    }
    web.stop();
  }

  /** The store drops the entry of a silent runner. */
  void expire() {
    site.store().drop("servers", id);
  }

  /** An unhealthy runner refuses starts with 503 and has then done nothing. */
  synchronized void unhealthy(boolean next) {
    unhealthy = next;
  }

  synchronized boolean runs(String task) {
    return running.containsKey(task);
  }

  synchronized int count() {
    return running.size() + stopping.size();
  }

  private void register() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", site.service());
    entry.put("address", "127.0.0.1:" + port);
    entry.put("zone", site.zone());
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("cold_left_ms", 0);
    entry.put("capacity", Map.of("cpu", site.cpu(), "mem_mb", 64_000, "gpu", 0));
    entry.put("labels", labels);
    entry.put("clock_ms", clock());
    entry.put("seq", 1);
    entry.put("born", born);
    site.store().put("servers", id, entry);
  }

  private long clock() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private synchronized Web.Reply handle(Web.Call call) throws InterruptedException {
    if (!up) {
      return null;
    }
    if (call.instance() != null && !call.instance().equals(id)) {
      return new Web.Reply(421, "");
    }
    Map<String, Object> body = Json.object(call.body());
    long sent = Json.number(body, "fencing_token");
    if (sent < token) {
      return refusal("fence");
    }
    token = sent;
    return switch (call.path()) {
      case "/-/run-start" -> startRun(body);
      case "/-/run-stop" -> stopRun(body);
      case "/-/hold" -> hold(body);
      case "/-/pace" -> new Web.Reply(200, Json.write(Map.of("clock_ms", clock())));
      default -> new Web.Reply(404, "");
    };
  }

  private Web.Reply refusal(String reason) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("clock_ms", clock());
    body.put("born", born);
    body.put("reason", reason);
    return new Web.Reply(409, Json.write(body));
  }

  private Web.Reply accepted() {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("clock_ms", clock());
    body.put("born", born);
    return new Web.Reply(200, Json.write(body));
  }

  private void extend(Map<String, Object> body) {
    leaseEnd =
        Math.max(leaseEnd, Math.min(Json.number(body, "deadline_ms"), clock() + MAX_LEASE_MILLIS));
  }

  private Web.Reply startRun(Map<String, Object> body) {
    String task = Json.string(body, "task");
    int number = (int) Json.number(body, "run");
    if (unhealthy) {
      Rec.log(id + " refuses " + task + " run " + number + " with 503");
      Starts.refuse(task);
      return new Web.Reply(503, "");
    }
    lapse();
    Run present = running.get(task);
    if (present != null && present.number() == number) {
      return accepted();
    }
    if (Json.number(body, "deadline_ms") <= clock()) {
      return refusal("late");
    }
    if (number <= closed.getOrDefault(task, 0)) {
      extend(body);
      return refusal("old");
    }
    extend(body);
    Rec.log(
        id
            + " starts "
            + task
            + " run "
            + number
            + " lease until "
            + (leaseEnd - clock())
            + " ms from now, token "
            + token);
    Starts.started(task, number, id);
    running.put(task, new Run(task, number, clock(), clock() + site.workMillis().applyAsLong(task)));
    return accepted();
  }

  private Web.Reply stopRun(Map<String, Object> body) {
    String task = Json.string(body, "task");
    int number = (int) Json.number(body, "run");
    closed.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number() <= number) {
      running.remove(task);
      stopping.put(task, new Run(task, run.number(), clock(), clock() + STOP_MILLIS));
    }
    return accepted();
  }

  private Web.Reply hold(Map<String, Object> body) throws InterruptedException {
    long life = born;
    if (holdsBack && Json.number(body, "ack_cursor") > 0) {
      holdsBack = false;
      late = body;
      Rec.log(id + " leaves unanswered: hold " + body);
      while (up && born == life) {
        wait(100);
      }
      return null;
    }
    lapse();
    if (body.containsKey("deadline_ms")) {
      extend(body);
    }
    acked = Math.max(acked, Json.number(body, "ack_cursor"));
    forget();
    long until = clock() + Math.min(2_000, Json.number(body, "wait_ms"));
    while (up && born == life && ended.isEmpty() && clock() < until) {
      wait(Math.max(1, until - clock()));
    }
    return up && born == life ? new Web.Reply(200, report()) : null;
  }

  private String report() {
    List<Object> runs = new ArrayList<>();
    for (Run run : running.values()) {
      runs.add(List.of(run.task(), run.number(), "", run.percent(clock()), 1));
    }
    for (Run run : stopping.values()) {
      runs.add(List.of(run.task(), run.number(), "", 50, 1));
    }
    List<Object> list = new ArrayList<>();
    for (End end : ended.subList(0, Math.min(500, ended.size()))) {
      list.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("clock_ms", clock());
    body.put("born", born);
    body.put("running", runs);
    body.put("ended", list);
    return Json.write(body);
  }

  private void forget() {
    ended.removeIf(end -> end.number() <= acked);
  }

  private void end(Run run, String how) {
    running.remove(run.task());
    stopping.remove(run.task());
    closed.merge(run.task(), run.number(), Math::max);
    ends++;
    ended.add(new End(ends, run.task(), run.number(), how));
    Rec.log(id + " ends " + run.task() + " run " + run.number() + " " + how + " as " + ends
        + (ends <= acked ? " (acknowledged before)" : ""));
    Starts.ended(run.task(), run.number(), id, how);
    forget();
    notifyAll();
  }

  private void lapse() {
    if (clock() > leaseEnd) {
      List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
    }
  }

  private void tick(long life) {
    while (true) {
      synchronized (this) {
        if (!up || born != life) {
          return;
        }
        lapse();
        long now = clock();
        List.copyOf(running.values()).stream()
            .filter(run -> now >= run.doneMillis())
            .forEach(run -> end(run, "done"));
        List.copyOf(stopping.values()).stream()
            .filter(run -> now >= run.doneMillis())
            .forEach(run -> end(run, "stopped"));
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
