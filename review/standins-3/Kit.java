import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Stand-ins of the platform and a runner of the project's processes, for the review's scripts. */
final class Kit implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  private static final long START_NANOS = System.nanoTime();
  private static final long LIMIT_MILLIS = 115_000;

  /** What a script does. */
  interface Case {
    /** Returns the exit code. */
    int run(Kit kit) throws Exception;
  }

  /** Runs a script and ends the process with its exit code; a failure of the script itself is 2. */
  static void run(String folder, Case script) {
    Thread limit =
        new Thread(
            () -> {
              sleep(LIMIT_MILLIS);
              System.out.println("could not run: it took too long");
              System.exit(NOT_RUN);
            });
    limit.setDaemon(true);
    limit.start();
    int code = NOT_RUN;
    try (Kit kit = new Kit(Path.of(folder))) {
      code = script.run(kit);
    } catch (Exception | Error e) {
      e.printStackTrace();
      code = NOT_RUN;
    }
    System.exit(code);
  }

  final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  final Store store = new Store();
  final List<Node> nodes = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();

  /** When the orders to all runners came. */
  final Queue<Long> orders = new ConcurrentLinkedQueue<>();

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final Path folder;
  private final String net;
  private volatile boolean closed;

  Kit(Path caseFolder) throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    record =
        new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    folder = Files.createTempDirectory("cottontack-review");
    net = "127." + (20 + new java.util.Random().nextInt(200)) + "." + ProcessHandle.current().pid() % 250;
    Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
    log("trouble=" + trouble);
  }

  static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
  }

  void log(String text) {
    String line = String.format("%8.3f  %s", millis() / 1000.0, text);
    record.println(line);
  }

  /** Ends the run with a verdict. */
  int verdict(boolean broken, String text) {
    log((broken ? "BROKEN: " : "held: ") + text);
    System.out.println((broken ? "BROKEN: " : "held: ") + text);
    return broken ? BROKEN : HELD;
  }

  int notRun(String text) {
    log("could not run: " + text);
    System.out.println("could not run: " + text);
    return NOT_RUN;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static boolean await(long millis, BooleanSupplier condition) {
    long end = millis() + millis;
    while (millis() < end) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(10);
    }
    return condition.getAsBoolean();
  }

  private void endProcesses() {
    nodes.forEach(Node::kill);
  }

  private void cleanUp() {
    closed = true;
    endProcesses();
    try (Stream<Path> all = Files.walk(folder)) {
      all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException | UncheckedIOException e) {
      // The folder is gone already.
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    endProcesses();
    nodes.forEach(Node::copyLog);
    workers.forEach(worker -> worker.server.stop(0));
    nodes.forEach(node -> node.storeServer.stop(0));
    record.close();
    cleanUp();
  }

  static String query(HttpExchange call, String name) {
    String text = call.getRequestURI().getRawQuery();
    if (text == null) {
      return "";
    }
    return Stream.of(text.split("&"))
        .map(pair -> pair.split("=", 2))
        .filter(pair -> pair[0].equals(name) && pair.length == 2)
        .map(pair -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8))
        .findFirst()
        .orElse("");
  }

  static void answer(HttpExchange call, int status, JsonNode body) throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("content-type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
    call.close();
  }

  static HttpServer serve(ExecutorService threads, String ip, int port, Handler handler)
      throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 256);
    server.setExecutor(threads);
    server.createContext(
        "/",
        call -> {
          try {
            byte[] body = call.getRequestBody().readAllBytes();
            handler.handle(call, body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body));
          } catch (IOException e) {
            call.close();
          } catch (RuntimeException e) {
            e.printStackTrace();
            call.close();
          }
        });
    server.start();
    return server;
  }

  /** Handles one call. */
  interface Handler {
    void handle(HttpExchange call, JsonNode body) throws IOException;
  }

  // The platform's store

  /** A key of a row. */
  record Key(String table, String part, String key) {
    static Key of(JsonNode node) {
      return new Key(
          node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }
  }

  /** A row; a removed one has no value. */
  record Row(Key key, String value, long version) {
    boolean removed() {
      return value == null;
    }

    String text() {
      return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }

    ObjectNode json() {
      ObjectNode node = JSON.createObjectNode();
      node.put("table", key.table()).put("part", key.part()).put("key", key.key());
      node.put("schema_version", version);
      return removed() ? node.put("deleted", true) : node.put("value", value);
    }
  }

  /** Decides how the store treats a call of a node. */
  interface StoreTrouble {
    /** Called before the call is carried out; returns false to answer it with 503. */
    boolean before(Node node, String path, HttpExchange call, JsonNode body);

    /** Called after it has been carried out and before it is answered. */
    default void after(Node node, String path, HttpExchange call, JsonNode body) {}
  }

  /** The platform's store with rows, transactions and feeds. */
  final class Store {
    private final Map<Key, Row> rows = new HashMap<>();
    private long version;
    volatile StoreTrouble trouble = (node, path, call, body) -> true;

    synchronized void put(String table, String key, JsonNode value) {
      version++;
      String text =
          Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
      Key at = new Key(table, "", key);
      rows.put(at, new Row(at, text, version));
      notifyAll();
    }

    synchronized void remove(String table, String key) {
      version++;
      Key at = new Key(table, "", key);
      rows.put(at, new Row(at, null, version));
      notifyAll();
    }

    synchronized List<Row> rows(String table) {
      return rows.values().stream()
          .filter(row -> row.key().table().equals(table) && !row.removed())
          .toList();
    }

    /** Returns the name of the node that the election row names; empty if there is none. */
    String leader() {
      return rows("leader").stream()
          .filter(row -> row.key().key().equals("election"))
          .map(row -> row.text().replaceAll("^\\d+ ", "").replaceAll("/.*", ""))
          .findFirst()
          .orElse("");
    }

    private void handle(Node node, HttpExchange call, JsonNode body) throws IOException {
      String path = call.getRequestURI().getPath();
      if (!trouble.before(node, path, call, body)) {
        answer(call, 503, JSON.createObjectNode());
        return;
      }
      switch (path) {
        case "/-/rows-tx" -> {
          sleep(4);
          ObjectNode response = JSON.createObjectNode();
          boolean done = commit(body, response);
          trouble.after(node, path, call, body);
          answer(call, done ? 200 : 412, response);
        }
        case "/-/rows-get" -> {
          ObjectNode response = read(call);
          trouble.after(node, path, call, body);
          answer(call, 200, response);
        }
        case "/-/rows-feed" -> {
          ObjectNode response = feed(call);
          trouble.after(node, path, call, body);
          answer(call, 200, response);
        }
        default -> answer(call, 404, JSON.createObjectNode());
      }
    }

    private long current(Key key) {
      Row row = rows.get(key);
      return row == null || row.removed() ? 0 : row.version();
    }

    private synchronized boolean commit(JsonNode body, ObjectNode response) {
      boolean holds = true;
      ArrayNode now = response.putArray("rows");
      for (JsonNode expected : body.path("expected")) {
        Key key = Key.of(expected);
        holds &= current(key) == expected.path("schema_version").asLong();
        if (current(key) != 0) {
          now.add(rows.get(key).json());
        }
      }
      if (holds) {
        version++;
        body.path("writes")
            .forEach(w -> rows.put(Key.of(w), new Row(Key.of(w), w.path("value").asText(), version)));
        body.path("remove").forEach(w -> rows.put(Key.of(w), new Row(Key.of(w), null, version)));
        now.removeAll();
        notifyAll();
      }
      stamp(response);
      return holds;
    }

    private void stamp(ObjectNode response) {
      response.put("schema_version", version).put("now_ms", millis() + 1_000_000);
    }

    private synchronized ObjectNode read(HttpExchange call) {
      String table = query(call, "table");
      String part = query(call, "part");
      String from = query(call, "from");
      String target = query(call, "target");
      int limit = query(call, "limit").isEmpty() ? 500 : Integer.parseInt(query(call, "limit"));
      TreeMap<String, Row> found = new TreeMap<>();
      rows.values().stream()
          .filter(row -> !row.removed())
          .filter(row -> row.key().table().equals(table) && row.key().part().equals(part))
          .filter(row -> row.key().key().compareTo(from) >= 0)
          .filter(row -> target.isEmpty() || row.key().key().compareTo(target) < 0)
          .forEach(row -> found.put(row.key().key(), row));
      ObjectNode response = JSON.createObjectNode();
      ArrayNode list = response.putArray("rows");
      found.values().stream().limit(Math.min(500, limit)).forEach(row -> list.add(row.json()));
      response.put("has_more", list.size() < found.size());
      stamp(response);
      return response;
    }

    private synchronized ObjectNode feed(HttpExchange call) {
      String table = query(call, "table");
      long after = Long.parseLong(query(call, "after"));
      long end = millis() + Long.parseLong(query(call, "wait_ms"));
      List<Row> changed = changed(table, after);
      while (changed.isEmpty() && millis() < end && !closed) {
        try {
          wait(Math.max(1, end - millis()));
        } catch (InterruptedException e) {
          break;
        }
        changed = changed(table, after);
      }
      ObjectNode response = JSON.createObjectNode();
      ArrayNode list = response.putArray("rows");
      changed.forEach(row -> list.add(row.json()));
      stamp(response);
      return response;
    }

    private List<Row> changed(String table, long after) {
      return rows.values().stream()
          .filter(row -> row.key().table().equals(table) && row.version() > after)
          .sorted(Comparator.comparingLong(Row::version))
          .toList();
    }
  }

  /**
   * Writes a config. Each queue has its name as the prefix, and the service that follows a colon in
   * place of the given one.
   */
  void config(long version, String service, String... queues) {
    ObjectNode config = JSON.createObjectNode().put("version", version);
    ArrayNode routes = config.putArray("routes");
    int priority = 0;
    ArrayNode services = config.putArray("services");
    services.addObject().put("name", service).put("enforces_capacity", false);
    for (String queue : queues) {
      String[] names = queue.split(":");
      if (names.length > 1) {
        services.addObject().put("name", names[1]).put("enforces_capacity", false);
      }
      routes
          .addObject()
          .put("name", names[0])
          .put("host", "jobs.example")
          .put("prefix", "/" + names[0] + "/")
          .put("service", names.length > 1 ? names[1] : service)
          .put("timeout_ms", 3000)
          .put("priority", priority++)
          .put("max_attempts", 3)
          .put("stretch", 2);
    }
    config.putObject("limits");
    store.put("op", "config", config);
  }

  // The project's processes

  /** One entry process. */
  final class Node {
    final String name;
    final String ip;
    final String zone;
    final HttpServer storeServer;
    private final int storePort;
    private final Path log;
    volatile Process process;

    Node(String name, String ip, String zone) throws IOException {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.log = folder.resolve(name + ".log");
      this.storePort = freePort(ip);
      this.storeServer =
          serve(threads, ip, storePort, (call, body) -> store.handle(this, call, body));
    }

    void start() throws IOException {
      String toml = Files.readString(Path.of("deploy", "system.toml"));
      Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(toml);
      if (!run.find()) {
        throw new IOException("no command in the deploy file");
      }
      Path settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, settings());
      List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      Map<String, String> env = builder.environment();
      env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      env.put("COTTONTACK_CONFIG", settings.toString());
      env.put("COTTONTACK_ROW_BYTES", "65536");
      if (closed) {
        throw new IOException("the case ends");
      }
      process = builder.start();
      log("node " + name + " started");
    }

    private String settings() throws IOException {
      Map<String, String> values = new LinkedHashMap<>();
      values.put("node", name);
      values.put("ip", ip);
      values.put("zone", zone);
      values.put("listen.front", ip + ":8161");
      values.put("listen.ready", ip + ":8167");
      values.put("platform.address", ip + ":" + storePort);
      values.put("bounds.grace_s", "6");
      values.put("bounds.status_s", "120");
      values.put("bounds.stop_grace_ms", "200");
      values.put("bounds.restore_ms", "600");
      values.put("limits.cpu_share", "0.75");
      values.put("limits.cores", "1");
      values.put("limits.link_mbps", "1000.0");
      String text = Files.readString(Path.of("deploy", "settings.yaml"));
      for (Map.Entry<String, String> value : values.entrySet()) {
        text = text.replace("{{" + value.getKey() + "}}", value.getValue());
      }
      if (text.contains("{{")) {
        throw new IOException("a placeholder without a value in the template of the settings");
      }
      return text;
    }

    boolean ready() {
      try {
        return http(ip + ":8167", "GET", "/-/ready", "", Map.of()).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String signal) throws IOException {
      log("SIG" + signal + " to " + name);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    void kill() {
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
      }
    }

    private void copyLog() {
      try {
        if (System.getenv("KEEP_LOGS") != null) {
          Files.copy(log, Path.of(System.getenv("KEEP_LOGS"), name + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  /** Starts entry processes, one after the other over three zones, and waits until all are ready. */
  boolean startNodes(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      nodes.add(new Node("entry-" + i, net + "." + (i + 2), "zone-" + i % 3));
    }
    for (Node node : nodes) {
      node.start();
    }
    return await(30_000, () -> nodes.stream().allMatch(Node::ready))
        && await(10_000, () -> !store.leader().isEmpty());
  }

  Node leaderNode() {
    return nodes.stream().filter(node -> node.name.equals(store.leader())).findFirst().orElseThrow();
  }

  // Runners

  /** What a runner does with an order. */
  enum Treat {
    /** Carries it out and answers. */
    NORMAL,
    /** Does nothing and answers 503, as an unhealthy runner. */
    UNHEALTHY,
    /** Does nothing and never answers. */
    SILENT
  }

  /** Decides how a runner treats an order. */
  interface WorkerTrouble {
    Treat treat(String path, JsonNode body);
  }

  private record Run(int number, long end, long began) {}

  private record End(long number, String task, int run, String how, long at) {}

  /** One runner. A task's spec is how long it takes, in milliseconds; 0 means that it lasts. */
  final class Worker {
    final String id;
    final String zone;
    private final String address;
    private final HttpServer server;
    private final ObjectNode entry;
    private final long born = System.currentTimeMillis();
    private final long startMillis = millis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long endCount;
    private long acked;
    private long token;
    private long lease;
    private long lapsedAt = -1;
    private int seq;
    private volatile boolean dead;
    volatile WorkerTrouble trouble = (path, body) -> Treat.NORMAL;
    volatile WorkerListener listener = (event, task, run) -> {};

    Worker(String id, String service, String zone, int cpu, String... labels) throws IOException {
      this.id = id;
      this.zone = zone;
      String ip = net + ".1";
      int port = freePort(ip);
      address = ip + ":" + port;
      server = serve(threads, ip, port, this::handle);
      entry = JSON.createObjectNode();
      entry.put("service", service).put("address", address).put("zone", zone);
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("born", born);
      entry.put("cold_left_ms", 0);
      entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 256_000).put("gpu", 0);
      ArrayNode list = entry.putArray("labels");
      Stream.of(labels).forEach(list::add);
      workers.add(this);
      threads.submit(this::work);
    }

    private long clock() {
      return millis() - startMillis;
    }

    private void work() {
      long beat = 0;
      while (!closed && !dead) {
        if (millis() >= beat) {
          beat = millis() + 1_100;
          store.put("servers", id, entry.put("seq", seq++));
        }
        tick();
        sleep(5);
      }
    }

    /** Ends this life with all its runs; nobody is told. */
    void crash() {
      dead = true;
      log(id + " crashes with " + running.size() + " runs");
      server.stop(0);
    }

    /** Carries an order out that was sent to an earlier life and got no answer. */
    void carryOutLate(String path, JsonNode body) {
      int status = order(path, body, JSON.createObjectNode());
      log(id + " carries out late " + path + " " + body + ": " + status);
    }

    private synchronized void tick() {
      long now = clock();
      List.copyOf(running.keySet()).stream()
          .filter(task -> running.get(task).end() <= now)
          .forEach(task -> end(task, "done"));
      if (now > lease) {
        lapsedAt = now;
        List.copyOf(running.keySet()).forEach(task -> end(task, "lapsed"));
      }
    }

    private void end(String task, String how) {
      Run run = running.remove(task);
      closedRuns.merge(task, run.number(), Math::max);
      endCount++;
      ends.add(new End(endCount, task, run.number(), how, clock()));
      listener.event(how, task, run.number());
      log(id + " run " + task + "#" + run.number() + " ended " + how + " as " + endCount);
      forgetNoted();
      notifyAll();
    }

    private void handle(HttpExchange call, JsonNode body) throws IOException {
      String path = call.getRequestURI().getPath();
      orders.add(millis());
      switch (trouble.treat(path, body)) {
        case SILENT -> {
          log(id + " leaves " + path + " unanswered " + brief(body));
          await(30_000, () -> closed || dead);
          call.close();
        }
        case UNHEALTHY -> {
          log(id + " answers 503 to " + path + " " + brief(body));
          answer(call, 503, JSON.createObjectNode().put("clock_ms", clock()));
        }
        default -> carryOut(call, path, body);
      }
    }

    private String brief(JsonNode body) {
      return body.path("task").asText() + "#" + body.path("run").asInt();
    }

    private void carryOut(HttpExchange call, String path, JsonNode body) throws IOException {
      String instance = call.getRequestHeaders().getFirst("Expected-Instance");
      if (!id.equals(instance)) {
        answer(call, 421, JSON.createObjectNode());
        return;
      }
      ObjectNode response = JSON.createObjectNode();
      int status = order(path, body, response);
      answer(call, status, response.put("clock_ms", clock()).put("born", born));
    }

    private synchronized int order(String path, JsonNode body, ObjectNode response) {
      tick();
      if (body.path("fencing_token").asLong() < token) {
        response.put("reason", "fence");
        log(id + " refuses " + path + " with an old fence");
        return 409;
      }
      token = body.path("fencing_token").asLong();
      return switch (path) {
        case "/-/run-start" -> start(body, response);
        case "/-/run-stop" -> stop(body);
        case "/-/hold" -> hold(body, response);
        case "/-/pace" -> 200;
        default -> 404;
      };
    }

    private void extend(JsonNode body) {
      lease = Math.max(lease, Math.min(body.path("deadline_ms").asLong(), clock() + 10_000));
    }

    private int start(JsonNode body, ObjectNode response) {
      String task = body.path("task").asText();
      int run = body.path("run").asInt();
      Run present = running.get(task);
      if (present != null && present.number() == run) {
        extend(body);
        return 200;
      }
      extend(body);
      if (run <= closedRuns.getOrDefault(task, 0)) {
        response.put("reason", "old");
        return 409;
      }
      if (body.path("deadline_ms").asLong() <= clock()) {
        response.put("reason", "late");
        return 409;
      }
      long duration = Long.parseLong(body.path("spec").asText());
      long end = duration == 0 ? Long.MAX_VALUE / 2 : clock() + duration;
      running.put(task, new Run(run, end, clock()));
      log(id + " run " + task + "#" + run + " begins, token " + token);
      listener.event("begun", task, run);
      return 200;
    }

    private int stop(JsonNode body) {
      String task = body.path("task").asText();
      int run = body.path("run").asInt();
      closedRuns.merge(task, run, Math::max);
      if (running.containsKey(task) && running.get(task).number() <= run) {
        end(task, "stopped");
      }
      log(id + " is told to stop " + task + "#" + run);
      return 200;
    }

    private void forgetNoted() {
      ends.stream()
          .filter(end -> end.number() <= acked)
          .forEach(
              end -> {
                // An end doesn't count as taken note of if the lease lapsed between the two.
                String noted = lapsedAt >= end.at() ? "dropped " : "noted ";
                log(
                    "%s end %s#%d %s is %sby token %d"
                        .formatted(id, end.task(), end.run(), end.how(), noted, token));
                listener.event(noted + end.how(), end.task(), end.run());
              });
      ends.removeIf(end -> end.number() <= acked);
    }

    private int hold(JsonNode body, ObjectNode response) {
      if (body.has("deadline_ms")) {
        extend(body);
      }
      long cursor = body.path("ack_cursor").asLong();
      acked = Math.max(acked, cursor);
      forgetNoted();
      long until = millis() + body.path("wait_ms").asLong();
      while (ends.isEmpty() && millis() < until && !closed) {
        try {
          wait(Math.max(1, Math.min(20, until - millis())));
        } catch (InterruptedException e) {
          break;
        }
      }
      ArrayNode list = response.putArray("running");
      running.forEach(
          (task, run) -> {
            long total = Math.max(1, Math.min(300, run.end() - run.began()));
            long percent = Math.min(100, 100 * (clock() - run.began()) / total);
            list.addArray().add(task).add(run.number()).add("").add(percent).add(500);
          });
      ArrayNode over = response.putArray("ended");
      ends.stream()
          .limit(500)
          .forEach(
              end ->
                  over.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how())
                      .add(""));
      return 200;
    }
  }

  /**
   * Hears of runs: begun, done, stopped, lapsed, noted with how it ended, or dropped with how it
   * ended where the lease had lapsed before the end was acknowledged.
   */
  interface WorkerListener {
    void event(String event, String task, int run);
  }

  // Clients

  /** A response. */
  record Response(int status, String body) {
    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Sends one request on a channel of its own. */
  static Response http(String to, String method, String path, String body, Map<String, String> more)
      throws IOException {
    String[] parts = to.split(":");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(4_000);
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
      socket.getOutputStream().write(request(method, path, body, more));
      return response(socket.getInputStream());
    }
  }

  static byte[] request(String method, String path, String body, Map<String, String> more) {
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    text.append("Host: jobs.example\r\nContent-Type: application/json\r\n");
    more.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
    text.append("Content-Length: " + bytes.length + "\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(text.toString().getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(bytes);
    return all.toByteArray();
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("the channel ended without a complete answer");
      }
      if (next != '\r') {
        text.append((char) next);
      }
      next = in.read();
    }
    return text.toString();
  }

  static Response response(InputStream in) throws IOException {
    int status = Integer.parseInt(line(in).split(" ")[1]);
    int length = 0;
    String header = line(in);
    while (!header.isEmpty()) {
      if (header.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
      header = line(in);
    }
    return new Response(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  /** Sends a client's call to a node's front and records it. */
  Response call(Node node, String method, String path, String body) {
    try {
      Response response =
          http(node.ip + ":8161", method, path, body, Map.of("Deadline-Ms", "3000"));
      log("client " + method + " " + path + " at " + node.name + " -> " + response.status()
          + " " + response.body());
      return response;
    } catch (IOException e) {
      log("client " + method + " " + path + " at " + node.name + " -> " + e.getMessage());
      return new Response(0, "");
    }
  }

  /** Returns a submission of one step. */
  static ObjectNode submission(long millis, int count, int cpu) {
    ObjectNode job = JSON.createObjectNode().put("spec", Long.toString(millis));
    ObjectNode step = job.putArray("steps").addObject();
    step.put("count", count).put("cpu", cpu).put("mem_mb", 100);
    step.put("estimate_ms", Math.max(1, millis));
    return job;
  }
}
