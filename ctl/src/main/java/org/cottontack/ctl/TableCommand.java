package org.cottontack.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.table.TableText;
import org.cottontack.core.table.TableCheck;
import org.cottontack.core.table.TableContent;
import org.cottontack.core.table.TableFault;

/** The {@code cottontackctl table} command. */
final class TableCommand {

  private static final long POLL_MILLIS = 250;
  private static final TableContent EMPTY = new TableContent(0, 0, List.of(), List.of());

  private final OpsClient client;
  private final Commands.Table options;
  private final PrintStream out;

  TableCommand(OpsClient client, Commands.Table options, PrintStream out) {
    this.client = client;
    this.options = options;
    this.out = out;
  }

  ExitCode run() {
    String action = options.arguments.get(0);
    return switch (action) {
      case "check" -> check(readFile());
      case "diff" -> diff(readFile());
      case "apply" -> apply(readFile());
      case "show" -> show();
      case "history" -> history();
      default ->
          throw new CtlException(
              ExitCode.USAGE,
              "table " + action + ": no such action; use check, diff, apply, history or show");
    };
  }

  private String readFile() {
    if (options.arguments.size() < 2) {
      throw new CtlException(ExitCode.USAGE, "table " + options.arguments.get(0) + " needs a FILE");
    }
    String name = options.arguments.get(1);
    try {
      return Files.readString(Path.of(name));
    } catch (IOException e) {
      throw new CtlException(ExitCode.NO_FILE, "cannot read " + name + ": no such file");
    }
  }

  private TableContent parse(String text) {
    try {
      return TableText.read(text);
    } catch (AdapterException e) {
      throw new CtlException(ExitCode.NEGATIVE, options.arguments.get(1) + ": " + e.getMessage());
    }
  }

  private ExitCode check(String text) {
    List<TableFault> faults = TableCheck.faults(parse(text));
    if (options.json) {
      out.println(Json.write(faults));
    } else if (faults.isEmpty()) {
      out.println(options.arguments.get(1) + ": good");
    } else {
      faults.forEach(fault -> out.println(options.arguments.get(1) + ": " + fault));
    }
    return faults.isEmpty() ? ExitCode.DONE : ExitCode.NEGATIVE;
  }

  private ExitCode diff(String text) {
    HttpResult result = fetchTable();
    TableContent before = result.is(200) ? TableText.read(result.text()) : EMPTY;
    List<String> lines = TableDiff.lines(before, parse(text));
    String version = result.headers().getOrDefault("cottontack-table-version", "0");
    if (options.json) {
      out.println(Json.write(lines));
    } else {
      out.println("in force: version " + version);
      lines.forEach(out::println);
      out.println(lines.isEmpty() ? "no difference" : lines.size() + " differences");
    }
    return ExitCode.DONE;
  }

  private HttpResult fetchTable() {
    return client.get(address(), "/ops/table");
  }

  private Address address() {
    return Address.parse(options.instance);
  }

  private ExitCode apply(String text) {
    if (options.expected < 0) {
      throw new CtlException(
          ExitCode.USAGE,
          "table apply needs --expected N, the version you edited; table diff shows it");
    }
    parse(text);
    String path =
        "/ops/table?expected=%d&editor=%s"
            .formatted(options.expected, URLEncoder.encode(options.editor, StandardCharsets.UTF_8));
    HttpResult result = client.send(address(), "PUT", path, text);
    if (options.json) {
      out.println(result.text());
    }
    return switch (result.status()) {
      case 200 -> accepted(options.expected + 1);
      case 409 -> refused(result, ExitCode.STALE);
      case 422, 400 -> refused(result, ExitCode.NEGATIVE);
      default -> refused(result, ExitCode.UNREACHABLE);
    };
  }

  private ExitCode refused(HttpResult result, ExitCode code) {
    String reason =
        Json.tree(result.text()).path("messages").toString() + " (" + result.status() + ")";
    throw new CtlException(code, "not accepted: " + reason);
  }

  private ExitCode accepted(long version) {
    out.println("accepted as version " + version);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.waitSeconds);
    List<String> outdated = options.waitFor;
    while (!outdated.isEmpty() && System.nanoTime() < end) {
      outdated = outdated.stream().filter(a -> versionAt(a) < version).toList();
      int updated = options.waitFor.size() - outdated.size();
      out.println("in force at %d of %d".formatted(updated, options.waitFor.size()));
      pause(outdated);
    }
    if (outdated.isEmpty()) {
      return ExitCode.DONE;
    }
    throw new CtlException(ExitCode.NOT_EVERYWHERE, "not yet in force at " + outdated);
  }

  private static void pause(List<String> outdated) {
    if (outdated.isEmpty()) {
      return;
    }
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long versionAt(String instance) {
    try {
      String status = client.get(Address.parse(instance), "/ops/status").text();
      return Json.tree(status).path("tableVersion").asLong();
    } catch (CtlException e) {
      return -1;
    }
  }

  private ExitCode show() {
    HttpResult result = fetchTable();
    if (!result.is(200)) {
      throw new CtlException(ExitCode.NEGATIVE, "there is no table yet");
    }
    out.print(result.text());
    return ExitCode.DONE;
  }

  private ExitCode history() {
    HttpResult result = client.get(address(), "/ops/table/history");
    if (options.json) {
      out.println(result.text());
      return ExitCode.DONE;
    }
    Json.tree(result.text())
        .forEach(
            line ->
                out.printf(
                    "%6d  %s  %s  %d rows%n",
                    line.path("version").asLong(),
                    Instant.ofEpochMilli(line.path("atWall").asLong()),
                    line.path("editor").asText(),
                    line.path("rows").asInt()));
    return ExitCode.DONE;
  }
}
