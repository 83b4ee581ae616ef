import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Stand-in for the platform's store: rows, transactions and a change feed, with the limits that
 * PROTOCOL.md and the settings of the small sites give. A transaction that breaks a limit is
 * answered with 400 and changes nothing.
 */
final class Store {

  static final int ROW_BYTES = 65_536;
  private static final int MAX_ENTRIES = 100;
  private static final int MAX_CALL_BYTES = 1_000_000;
  private static final int MAX_ROWS = 500;
  private static final long TXN_MILLIS = 8;
  private static final long READ_MILLIS = 4;
  private static final Set<String> PLATFORM_TABLES = Set.of("op", "servers");

  private record Key(String table, String part, String key) {}

  private record Row(Key key, String value, long version, boolean deleted) {

    Map<String, Object> json() {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("table", key.table());
      json.put("part", key.part());
      json.put("key", key.key());
      json.put("schema_version", version);
      if (deleted) {
        json.put("deleted", true);
      } else {
        json.put("value", value);
      }
      return json;
    }
  }

  private final HttpServer server;
  private final Record record;
  private final Map<Key, Row> rows = new HashMap<>();
  private final Map<String, String> refusedLogged = new HashMap<>();
  private long version;
  private int refusedRows;

  /** Extra time that the answer to a read takes; a slow store. */
  volatile ToLongFunction<String> readDelayMillis = query -> 0;

  Store(Record record) {
    this.record = record;
    this.server = Http.serve(0, this::handle);
  }

  int port() {
    return server.getAddress().getPort();
  }

  String address() {
    return Http.HOST + ":" + port();
  }

  /** Returns how many transactions were refused because a row was larger than the limit. */
  synchronized int refusedRows() {
    return refusedRows;
  }

  /** Writes a row as the operator or a runner does. */
  synchronized void put(String table, String key, Map<String, Object> value) {
    version++;
    String text = Json.write(value);
    Key at = new Key(table, "", key);
    rows.put(at, new Row(at, encode(text), version, false));
    notifyAll();
  }

  /** Removes a row as the platform does. */
  synchronized void remove(String table, String key) {
    Key at = new Key(table, "", key);
    if (live(at) != null) {
      version++;
      rows.put(at, new Row(at, "", version, true));
      notifyAll();
    }
  }

  /** Returns the text of a row of the system, for the record. */
  synchronized String text(String table, String part, String key) {
    Row row = live(new Key(table, part, key));
    return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private Row live(Key key) {
    Row row = rows.get(key);
    return row == null || row.deleted() ? null : row;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String body = Http.body(exchange);
    switch (path) {
      case "/-/rows-tx" -> commit(exchange, body);
      case "/-/rows-get" -> {
        Map<String, Object> answer = read(query);
        Http.sleep(READ_MILLIS + readDelayMillis.applyAsLong(exchange.getRequestURI().toString()));
        Http.answer(exchange, 200, answer);
      }
      case "/-/rows-feed" -> Http.answer(exchange, 200, feed(query));
      default -> Http.answer(exchange, 404, Map.of());
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static Key key(Map<String, Object> entry) {
    return new Key(
        Json.string(entry, "table"), Json.string(entry, "part"), Json.string(entry, "key"));
  }

  private void commit(HttpExchange exchange, String body) throws IOException {
    Http.sleep(TXN_MILLIS);
    Map<String, Object> transaction = Json.object(body);
    List<Map<String, Object>> expected = Json.rows(transaction, "expected");
    List<Map<String, Object>> writes = Json.rows(transaction, "writes");
    List<Map<String, Object>> remove = Json.rows(transaction, "remove");
    String broken = brokenLimit(body, expected, writes, remove);
    if (broken != null) {
      Http.answer(exchange, 400, Map.of("error", broken));
      return;
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    int status;
    synchronized (this) {
      List<Map<String, Object>> current = new ArrayList<>();
      boolean holds = true;
      for (Map<String, Object> entry : expected) {
        Row row = live(key(entry));
        holds &= (row == null ? 0 : row.version()) == Json.number(entry, "schema_version");
        if (row != null) {
          current.add(row.json());
        }
      }
      if (holds) {
        version++;
        for (Map<String, Object> entry : writes) {
          rows.put(key(entry), new Row(key(entry), Json.string(entry, "value"), version, false));
        }
        for (Map<String, Object> entry : remove) {
          if (live(key(entry)) != null) {
            rows.put(key(entry), new Row(key(entry), "", version, true));
          }
        }
        notifyAll();
      } else {
        answer.put("rows", current);
      }
      status = holds ? 200 : 412;
      answer.put("schema_version", version);
      answer.put("now_ms", now());
    }
    Http.answer(exchange, status, answer);
  }

  private String brokenLimit(
      String body,
      List<Map<String, Object>> expected,
      List<Map<String, Object>> writes,
      List<Map<String, Object>> remove) {
    if (expected.size() + writes.size() + remove.size() > MAX_ENTRIES) {
      return "more than 100 entries";
    }
    if (body.length() > MAX_CALL_BYTES) {
      return "more than 1 MB";
    }
    List<Key> all = new ArrayList<>();
    expected.forEach(entry -> all.add(key(entry)));
    writes.forEach(entry -> all.add(key(entry)));
    remove.forEach(entry -> all.add(key(entry)));
    if (all.stream().map(Key::part).distinct().count() > 1) {
      return "several parts";
    }
    if (writes.stream().anyMatch(entry -> PLATFORM_TABLES.contains(Json.string(entry, "table")))) {
      return "a table of the platform";
    }
    for (Map<String, Object> entry : writes) {
      int bytes = Base64.getDecoder().decode(Json.string(entry, "value")).length;
      if (bytes > ROW_BYTES) {
        String problem = "a row of " + bytes + " bytes, row_bytes is " + ROW_BYTES;
        synchronized (this) {
          refusedRows++;
          if (refusedLogged.put(key(entry).toString(), problem) == null) {
            record.line("store refuses " + key(entry) + ": " + problem);
          }
        }
        return problem;
      }
    }
    return null;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized Map<String, Object> read(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    String target = query.getOrDefault("target", "");
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    TreeMap<String, Row> found = new TreeMap<>();
    for (Row row : rows.values()) {
      if (!row.deleted()
          && row.key().table().equals(query.get("table"))
          && row.key().part().equals(query.getOrDefault("part", ""))
          && row.key().key().compareTo(from) >= 0
          && (target.isEmpty() || row.key().key().compareTo(target) < 0)) {
        found.put(row.key().key(), row);
      }
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put(
        "rows", found.values().stream().limit(limit).map(Row::json).collect(Collectors.toList()));
    answer.put("has_more", found.size() > limit);
    answer.put("schema_version", version);
    answer.put("now_ms", now());
    return answer;
  }

  private synchronized Map<String, Object> feed(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    List<Row> changed = changed(query.get("table"), after);
    while (changed.isEmpty() && now() < until) {
      try {
        wait(Math.max(1, until - now()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
      changed = changed(query.get("table"), after);
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("rows", changed.stream().map(Row::json).collect(Collectors.toList()));
    answer.put("schema_version", version);
    answer.put("now_ms", now());
    return answer;
  }

  private List<Row> changed(String table, long after) {
    return rows.values().stream()
        .filter(row -> row.key().table().equals(table) && row.version() > after)
        .sorted(Comparator.comparingLong(Row::version))
        .collect(Collectors.toList());
  }
}
