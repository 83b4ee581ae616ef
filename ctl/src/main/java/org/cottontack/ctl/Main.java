package org.cottontack.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.ctl.explain.ExplainCommand;

/** The {@code cottontackctl} command. */
public final class Main {

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  private final Commands.Status status = new Commands.Status();
  private final Commands.Instances instances = new Commands.Instances();
  private final Commands.Tasks tasks = new Commands.Tasks();
  private final Commands.Metrics metrics = new Commands.Metrics();
  private final Commands.Drain drain = new Commands.Drain();
  private final Commands.TimelineCommand timeline = new Commands.TimelineCommand();
  private final Commands.Explain explain = new Commands.Explain();
  private final Commands.Table table = new Commands.Table();
  private final PrintStream out;

  private Main(PrintStream out) {
    this.out = out;
  }

  /** Runs the command; exit codes are listed in {@code docs/OPERATIONS.md}. */
  public static void main(String[] args) {
    Runtime.getRuntime().halt(run(args, System.out, System.err));
  }

  /**
   * Runs the command within this process.
   *
   * @param args the command line
   * @param out receives the output
   * @param err receives one line if the command fails
   * @return the exit code
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    try {
      return new Main(out).run(args).number();
    } catch (ParameterException e) {
      err.println("cottontackctl: " + e.getMessage() + "; try cottontackctl --help");
      return ExitCode.USAGE.number();
    } catch (CtlException e) {
      err.println("cottontackctl: " + e.getMessage());
      return e.code().number();
    } catch (AdapterException e) {
      err.println("cottontackctl: " + e.getMessage());
      return ExitCode.USAGE.number();
    }
  }

  private ExitCode run(String[] args) {
    JCommander commander =
        JCommander.newBuilder()
            .programName("cottontackctl")
            .addObject(this)
            .addCommand("table", table)
            .addCommand("status", status)
            .addCommand("instances", instances)
            .addCommand("tasks", tasks)
            .addCommand("drain", drain)
            .addCommand("timeline", timeline)
            .addCommand("metrics", metrics)
            .addCommand("explain", explain)
            .build();
    commander.parse(args);
    if (help || commander.getParsedCommand() == null) {
      StringBuilder text = new StringBuilder();
      commander.getUsageFormatter().usage(text);
      out.print(text);
      return help ? ExitCode.DONE : ExitCode.USAGE;
    }
    if (commander.getParsedCommand().equals("explain")) {
      return runExplain();
    }
    try (OpsClient client = new OpsClient()) {
      return dispatch(commander.getParsedCommand(), client);
    }
  }

  private ExitCode dispatch(String command, OpsClient client) {
    return switch (command) {
      case "table" -> new TableCommand(client, table, out).run();
      case "status" -> printFields(client, status, "/ops/status");
      case "instances" -> printList(client, instances, "/ops/instances");
      case "tasks" -> printList(client, tasks, "/ops/tasks");
      case "metrics" -> printText(client, metrics, "/metrics");
      case "drain" -> requestDrain(client);
      case "timeline" -> printTimeline(client);
      default -> throw new CtlException(ExitCode.USAGE, "unknown command " + command);
    };
  }

  private ExitCode runExplain() {
    List<Path> files = explain.files.stream().map(Path::of).toList();
    try {
      boolean found = new ExplainCommand(out).run(files, explain.job);
      return found ? ExitCode.DONE : ExitCode.NEGATIVE;
    } catch (UncheckedIOException e) {
      throw new CtlException(ExitCode.NO_FILE, e.getMessage());
    }
  }

  private static HttpResult fetch(OpsClient client, Commands.InstanceOptions options, String path) {
    HttpResult result = client.get(Address.parse(options.instance), path);
    if (!result.is(200)) {
      throw new CtlException(
          ExitCode.UNREACHABLE, "the instance answered %d".formatted(result.status()));
    }
    return result;
  }

  private ExitCode printText(OpsClient client, Commands.InstanceOptions options, String path) {
    out.print(fetch(client, options, path).text());
    return ExitCode.DONE;
  }

  private ExitCode printFields(OpsClient client, Commands.InstanceOptions options, String path) {
    String body = fetch(client, options, path).text();
    if (options.json) {
      out.println(body);
    } else {
      Json.tree(body)
          .properties()
          .forEach(
              field -> out.printf("%-16s %s%n", field.getKey(), displayText(field.getValue())));
    }
    return ExitCode.DONE;
  }

  private static String displayText(JsonNode value) {
    return value.isTextual() ? value.asText() : value.toString();
  }

  private ExitCode printList(OpsClient client, Commands.InstanceOptions options, String path) {
    String body = fetch(client, options, path).text();
    if (options.json) {
      out.println(body);
    } else {
      JsonNode items = Json.tree(body);
      items.forEach(item -> out.println(item));
      out.println(items.size() + " in all");
    }
    return ExitCode.DONE;
  }

  private ExitCode requestDrain(OpsClient client) {
    client.send(Address.parse(drain.instance), "POST", "/ops/drain", "");
    out.println("draining " + drain.instance);
    return ExitCode.DONE;
  }

  private ExitCode printTimeline(OpsClient client) {
    List<String> from = timeline.from.isEmpty() ? List.of(timeline.instance) : timeline.from;
    String query =
        "/ops/timeline?subject=%s&event=%s"
            .formatted(
                URLEncoder.encode(timeline.subject, StandardCharsets.UTF_8),
                URLEncoder.encode(timeline.event, StandardCharsets.UTF_8));
    List<JsonNode> entries =
        from.stream()
            .flatMap(address -> entries(client, address, query))
            .sorted(Comparator.comparingLong(entry -> entry.path("stamp").asLong()))
            .toList();
    if (timeline.json) {
      out.println(Json.write(entries));
    } else {
      entries.forEach(this::printEntry);
    }
    return ExitCode.DONE;
  }

  /**
   * Returns the events of an instance. Prints a line for missing events and for instances that do
   * not answer, so that the timeline is not mistaken for a complete one.
   */
  private Stream<JsonNode> entries(OpsClient client, String address, String query) {
    try {
      JsonNode part = Json.tree(client.get(Address.parse(address), query).text());
      long dropped = part.path("dropped").asLong();
      if (dropped > 0 && !timeline.json) {
        out.println("(missing: " + dropped + " older events of " + address + ")");
      }
      return StreamSupport.stream(part.path("entries").spliterator(), false);
    } catch (CtlException e) {
      if (!timeline.json) {
        out.println("(missing: all events of " + address + ", which does not answer)");
      }
      return Stream.empty();
    }
  }

  private void printEntry(JsonNode entry) {
    out.printf(
        "%s %-10s %-24s %-18s %s %s%n",
        Instant.ofEpochMilli(entry.path("wallMillis").asLong()),
        entry.path("dataCentre").asText(),
        entry.path("instance").asText(),
        entry.path("event").asText(),
        entry.path("subject").asText(),
        entry.path("detail").asText());
  }
}
