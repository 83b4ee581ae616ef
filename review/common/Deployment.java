import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, the runners, and the project's own processes,
 * started with the command and the settings template of the deploy file.
 */
final class Deployment implements AutoCloseable {

  static final String HOST = "nony24.example";
  static final String SERVICE = "huvo11a";

  /** Bounds that the settings of a process hold; of rilatek-switch unless a case sets others. */
  static String stopGraceMillis = "200";

  static String restoreMillis = "100";

  private static final Random RANDOM = new Random();
  private static final long RESTART_MILLIS = 500;
  private static final int BLOCK_PORTS = 100;
  private static ServerSocket block;
  private static int nextPort;
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)}}");

  final Record record;
  final Ledger ledger;
  final Store store;
  final List<Runner> runners = new ArrayList<>();
  final List<String> fronts = new ArrayList<>();
  private final List<String> ready = new ArrayList<>();
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  private final Path folder;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private volatile boolean closing;

  Deployment(Record record, int entries, int runnerCount, Runner.Setting setting, Path folder) {
    this.record = record;
    this.folder = folder;
    ledger = new Ledger(record);
    store = new Store(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    for (int i = 0; i < runnerCount; i++) {
      Runner runner = new Runner(i, setting, store, ledger, zone(i));
      runners.add(runner);
      runner.begin(freePort());
    }
    for (int i = 0; i < entries; i++) {
      startEntry(i);
    }
    Thread ticker =
        new Thread(
            () -> {
              while (!closing) {
                runners.forEach(Runner::tick);
                Http.sleep(5);
              }
            });
    ticker.setDaemon(true);
    ticker.start();
  }

  static String zone(int index) {
    return "zone-" + (char) ('a' + index % 4);
  }

  /**
   * Returns a free port. Each driver takes its ports from a block of its own, whose first port it
   * keeps, so that two drivers at once don't take each other's; the blocks lie below the range from
   * which the system takes the ports of connections.
   */
  static synchronized int freePort() {
    while (true) {
      if (block == null || nextPort >= BLOCK_PORTS) {
        block = bind(20_000 + BLOCK_PORTS * RANDOM.nextInt(100));
        nextPort = 1;
        continue;
      }
      int port = block.getLocalPort() + nextPort++;
      try (ServerSocket socket = bind(port)) {
        if (socket != null) {
          return port;
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Returns a socket that listens on a port; null if some program has taken it. */
  private static ServerSocket bind(int port) {
    try {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(Http.HOST, port));
      return socket;
    } catch (IOException e) {
      return null;
    }
  }

  /** Writes the config as the operator does. */
  void config(List<Map<String, Object>> routes) {
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("version", 7);
    config.put("routes", routes);
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health_path", "/health");
    service.put("max_conns", 64);
    service.put("protocol", "h1");
    service.put("tls", false);
    service.put("enforces_capacity", false);
    service.put("spare", false);
    config.put("services", List.of(service));
    store.put("op", "config", config);
  }

  static Map<String, Object> route(String name, String prefix, int priority, int maxAttempts) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("prefix", prefix);
    route.put("kind", "non_idempotent");
    route.put("timeout_ms", 3000);
    route.put("target_duration_ms", 1000);
    route.put("priority", priority);
    route.put("service", SERVICE);
    route.put("max_attempts", maxAttempts);
    route.put("stretch", 2.0);
    return route;
  }

  private void startEntry(int index) {
    prepareEntry(index);
    processes.add(startProcess(index));
  }

  /** Starts the process of a node with the command of the deploy file. */
  private Process startProcess(int index) {
    try {
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.environment().put("COTTONTACK_CONFIG", settings(index).toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(index).toFile()));
      return builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Path settings(int index) {
    return folder.resolve("settings-" + index + ".yaml");
  }

  private Path log(int index) {
    return folder.resolve("entry-" + index + ".log");
  }

  /** Kills the process that was elected last; the platform starts it again after a short delay. */
  void killLeader() {
    int leader = 0;
    String elected = "";
    for (int i = 0; i < processes.size(); i++) {
      String last = lastElection(i);
      if (last.compareTo(elected) > 0) {
        elected = last;
        leader = i;
      }
    }
    record.line("SIGKILL of the leading process, node " + leader);
    processes.get(leader).destroyForcibly();
    int node = leader;
    Thread restart =
        new Thread(
            () -> {
              Http.sleep(RESTART_MILLIS);
              synchronized (processes) {
                if (!closing) {
                  processes.set(node, startProcess(node));
                }
              }
            });
    restart.setDaemon(true);
    restart.start();
  }

  /** Returns when a process logged last that it was elected; empty if it never did. */
  private String lastElection(int index) {
    try {
      String last = "";
      for (String line : Files.readAllLines(log(index))) {
        int time = line.indexOf("\"time\":\"");
        if (time >= 0 && line.contains("\"leader.won\"")) {
          last = line.substring(time + 8, line.indexOf('"', time + 8));
        }
      }
      return last;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void prepareEntry(int index) {
    String front = Http.HOST + ":" + freePort();
    String readiness = Http.HOST + ":" + freePort();
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node", "edge-" + zone(index) + "-" + (index / 4 + 1));
    values.put("zone", zone(index));
    values.put("listen.front", front);
    values.put("listen.ready", readiness);
    values.put("ip", Http.HOST);
    values.put("platform.address", store.address());
    values.put("bounds.grace_s", "6");
    values.put("bounds.status_s", "120");
    values.put("bounds.stop_grace_ms", stopGraceMillis);
    values.put("bounds.restore_ms", restoreMillis);
    values.put("limits.cpu_share", "0.3");
    values.put("limits.cores", "1");
    values.put("limits.link_mbps", "1000.0");
    try {
      String text = render(Files.readString(Path.of("deploy/settings.yaml")), values);
      // Several nodes share this machine's address, so the fixed port of the template is replaced.
      Files.writeString(settings(index), text.replace(":9464", ":" + freePort()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    fronts.add(front);
    ready.add(readiness);
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file has no run command");
  }

  private static String render(String template, Map<String, String> values) {
    Matcher matcher = PLACEHOLDER.matcher(template);
    return matcher.replaceAll(
        match -> {
          String value = values.get(match.group(1));
          if (value == null) {
            throw new IllegalStateException("no value for " + match.group(1));
          }
          return Matcher.quoteReplacement(value);
        });
  }

  /** Waits until all processes are ready; returns whether they are within 30 s. */
  boolean awaitReady() {
    long until = Record.millis() + 30_000;
    while (Record.millis() < until) {
      if (ready.stream().allMatch(address -> get(address, "/-/ready").status() == 200)) {
        record.line("all " + ready.size() + " processes are ready");
        return true;
      }
      Http.sleep(200);
    }
    record.line("not all processes became ready");
    return false;
  }

  /** A response; the status is 0 when there was none. */
  record Response(int status, String text) {}

  private Response get(String address, String path) {
    return call(address, "GET", path, "");
  }

  /** Sends a client's request and waits for its response, 3 s at most. */
  Response call(String address, String method, String path, String body) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(3_000))
              .header("Host", HOST)
              .header("Deadline-Ms", "3000")
              .header("Content-Type", "application/json")
              .method(method, HttpRequest.BodyPublishers.ofString(body))
              .build();
      HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Response(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Response(0, e.toString());
    }
  }

  /** Submits, and retries at other nodes as clients do; returns whether it was accepted. */
  boolean submit(String prefix, String id, String body) {
    for (int attempt = 0; attempt < 5; attempt++) {
      String front = fronts.get(RANDOM.nextInt(fronts.size()));
      Response response = call(front, "POST", prefix + id, body);
      record.line("POST " + prefix + id + " -> " + response.status());
      if (response.status() / 100 == 2) {
        return true;
      }
      Http.sleep(200);
    }
    return false;
  }

  /** Asks for a submission's state at any node; returns an empty text when there is no answer. */
  String state(String prefix, String id) {
    for (int attempt = 0; attempt < 3; attempt++) {
      String front = fronts.get(RANDOM.nextInt(fronts.size()));
      Response response = call(front, "GET", prefix + id, "");
      record.line("GET " + prefix + id + " -> " + response.status() + " " + response.text());
      if (response.status() == 200) {
        return Json.string(Json.object(response.text()), "state");
      }
      if (response.status() == 410) {
        return "410";
      }
      Http.sleep(200);
    }
    return "";
  }

  /** Returns how many of the project's processes are running. */
  long alive() {
    return processes.stream().filter(Process::isAlive).count();
  }

  private void endProcesses() {
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    synchronized (processes) {
      closing = true;
    }
    endProcesses();
  }
}
