import java.io.File;
import java.io.IOException;
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
import java.util.stream.Stream;

/** A small deployment: the store, runners, entry processes, and the calls of clients. */
final class Deployment implements AutoCloseable {

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  record Answer(int status, String body) {}

  /** One queue of the config. */
  record Queue(String name, String prefix, String service, int priority, int maxAttempts) {}

  final Store store = new Store();
  final List<Runner> runners = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  private final Path folder;
  private final List<Queue> queues = new ArrayList<>();
  private long configVersion = 6;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Deployment() throws IOException {
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
  interface Play {
    int play(Deployment deployment) throws Exception;
  }

  /** Plays a case, with its record in the given folder, and exits with its result. */
  static void run(String folder, Play play) throws IOException {
    Rec.open(Path.of(folder, "record.txt"));
    int result = 2;
    try (Deployment deployment = new Deployment()) {
      result = play.play(deployment);
    } catch (Exception | Error e) {
      Rec.log("the case couldn't run: " + e);
    }
    Rec.log("exit " + result);
    Runtime.getRuntime().exit(result);
  }

  void addRunner(Runner.Site site, String id, List<String> labels) throws IOException {
    Runner runner = new Runner(site, id, labels);
    runners.add(runner);
    runner.start();
  }

  static boolean troubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Deployment queue(Queue queue) {
    queues.add(queue);
    return this;
  }

  void config() {
    configVersion += 1;
    List<Object> routes = new ArrayList<>();
    List<Object> services = new ArrayList<>();
    for (Queue queue : queues) {
      Map<String, Object> route = new LinkedHashMap<>();
      route.put("name", queue.name());
      route.put("host", "nony24.example");
      route.put("prefix", queue.prefix());
      route.put("kind", "non_idempotent");
      route.put("timeout_ms", 3000);
      route.put("target_duration_ms", 250);
      route.put("priority", queue.priority());
      route.put("service", queue.service());
      route.put("max_attempts", queue.maxAttempts());
      route.put("stretch", 1.5);
      routes.add(route);
      Map<String, Object> service = new LinkedHashMap<>();
      service.put("name", queue.service());
      service.put("health_path", "/health");
      service.put("max_conns", 64);
      service.put("protocol", "h1");
      service.put("tls", false);
      service.put("enforces_capacity", false);
      service.put("spare", false);
      if (!services.contains(service)) {
        services.add(service);
      }
    }
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("version", configVersion);
    config.put("routes", routes);
    config.put("services", services);
    config.put(
        "limits",
        Map.of(
            "header_bytes", 16384,
            "body_bytes", 262144,
            "header_timeout_ms", 3000,
            "idle_timeout_ms", 15000));
    store.put("op", "config", config);
  }

  /** Starts a number of entry processes, in zones by turns, and waits until they are ready. */
  void startEntries(int count, List<String> zones) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      Entry entry =
          new Entry(folder, "edge-" + i, zones.get(i % zones.size()), store.open(i));
      entries.add(entry);
      entry.start();
    }
    for (Entry entry : entries) {
      awaitReady(entry, 20_000);
    }
    // A leader is there once the fence row of the progress is written.
    long until = Rec.millis() + 10_000;
    while (store.lastWriter("progress") < 0 && Rec.millis() < until) {
      Thread.sleep(50);
    }
    if (store.lastWriter("progress") < 0) {
      throw new IOException("no leader");
    }
    Rec.log("all entries are ready, the leader is " + leader().name);
  }

  void awaitReady(Entry entry, long millis) throws IOException, InterruptedException {
    long until = Rec.millis() + millis;
    while (Rec.millis() < until) {
      try {
        if (send(entry.ready, "GET", "/-/ready", "", 500).status() == 200) {
          return;
        }
      } catch (IOException e) {
        // not there yet
      }
      Thread.sleep(50);
    }
    throw new IOException(entry.name + " is not ready");
  }

  /** Returns the entry that wrote the leader's lease last. */
  Entry leader() {
    return entries.get(store.lastWriter("leader"));
  }

  /** Returns an entry other than the given one that is alive. */
  Entry other(Entry not) {
    return entries.stream()
        .filter(entry -> entry != not && entry.alive())
        .findFirst()
        .orElseThrow();
  }

  Answer call(Entry entry, String method, String path, String body)
      throws IOException, InterruptedException {
    long began = Rec.millis();
    try {
      Answer answer = send(entry.front, method, path, body, 3_000);
      Rec.log(
          "client %s %s at %s sent at %d: %d %s"
              .formatted(method, path, entry.name, began, answer.status(), answer.body()));
      return answer;
    } catch (IOException e) {
      Rec.log("client %s %s at %s sent at %d: %s".formatted(method, path, entry.name, began, e));
      return new Answer(0, "");
    }
  }

  private Answer send(int port, String method, String path, String body, long millis)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(millis))
            .header("Host", "nony24.example")
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", "3000")
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    return new Answer(response.statusCode(), response.body());
  }

  /** Returns a submission of one step. */
  static String job(String spec, Map<String, Object> step) {
    return Json.write(Map.of("spec", spec, "steps", List.of(step)));
  }

  static String id(long number) {
    return String.format("%016x", 0x5c0e7a2100000000L + number);
  }

  /** Ends all processes and removes the temporary folder. */
  @Override
  public void close() {
    entries.forEach(Entry::close);
    File[] files = folder.toFile().listFiles();
    if (files != null) {
      Stream.of(files).forEach(File::delete);
    }
    folder.toFile().delete();
  }
}
