import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started by the command and the template of the deploy file. */
final class Entry {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACE = Pattern.compile("\\{\\{([a-z_.]+)\\}\\}");

  final String name;
  final int front;
  final int ready;
  private final Path settings;
  private final Path log;
  private Process process;

  Entry(Path folder, String name, String zone, int storePort) throws IOException {
    this.name = name;
    this.front = Web.freePort();
    this.ready = Web.freePort();
    this.settings = folder.resolve(name + ".yaml");
    this.log = folder.resolve(name + ".log");
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("zone", zone),
            Map.entry("ip", "127.0.0.1"),
            Map.entry("listen.front", "127.0.0.1:" + front),
            Map.entry("listen.ready", "127.0.0.1:" + ready),
            Map.entry("platform.address", "127.0.0.1:" + storePort),
            Map.entry("bounds.grace_s", "6"),
            Map.entry("bounds.status_s", "120"),
            Map.entry("bounds.stop_grace_ms", "200"),
            Map.entry("bounds.restore_ms", "600"),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("limits.cores", "1"),
            Map.entry("limits.link_mbps", "1000.0"));
    String template = Files.readString(Path.of("deploy", "settings.yaml"));
    // All processes share one address here, so the port of the figures has to differ.
    template = template.replace("{{ip}}:9464", "127.0.0.1:" + Web.freePort());
    Matcher matcher = PLACE.matcher(template);
    StringBuilder text = new StringBuilder();
    while (matcher.find()) {
      matcher.appendReplacement(
          text, Matcher.quoteReplacement(values.getOrDefault(matcher.group(1), "")));
    }
    matcher.appendTail(text);
    Files.writeString(settings, text.toString());
  }

  void start() throws IOException {
    Matcher matcher = RUN.matcher(Files.readString(Path.of("deploy", "system.toml")));
    if (!matcher.find()) {
      throw new IOException("no command in the deploy file");
    }
    List<String> command = new ArrayList<>(List.of(matcher.group(1).split(" ")));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("COTTONTACK_CONFIG", settings.toString());
    builder.environment().put("COTTONTACK_ROW_BYTES", "65536");
    process = builder.start();
    Rec.log(name + " starts, process " + process.pid());
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** SIGKILL. */
  void kill() {
    Rec.log(name + " gets SIGKILL");
    process.destroyForcibly();
  }

  /** SIGTERM. */
  void terminate() {
    Rec.log(name + " gets SIGTERM");
    process.destroy();
  }

  /** Sends a signal by its name. */
  void signal(String signal) throws IOException, InterruptedException {
    Rec.log(name + " gets SIG" + signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  int exit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** Kills the process and waits until it has ended. */
  void close() {
    if (process != null) {
      process.destroyForcibly();
      process.onExit().completeOnTimeout(process, 2, TimeUnit.SECONDS).join();
    }
  }

  File log() {
    return log.toFile();
  }
}
