import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: rows, transactions and feeds; one port for each machine. */
final class Store {

  record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int c = table.compareTo(other.table);
      c = c != 0 ? c : part.compareTo(other.part);
      return c != 0 ? c : key.compareTo(other.key);
    }
  }

  record Row(Key key, String value, long version, boolean deleted) {}

  private static final long ANSWER_MILLIS = 4;
  private static final long TRANSACTION_MILLIS = 8;

  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private long version;

  /** The machine whose conditional write was carried out last. */
  private volatile int lastConditionalWriter = -1;

  /** Which machine last changed the row of the given table under a condition. */
  private final Map<String, Integer> lastWriters = new LinkedHashMap<>();

  /** Opens the store's port for one machine and returns it. */
  int open(int machine) throws IOException {
    int port = Web.freePort();
    new Web(port, call -> handle(machine, call));
    return port;
  }

  int lastConditionalWriter() {
    return lastConditionalWriter;
  }

  synchronized int lastWriter(String table) {
    return lastWriters.getOrDefault(table, -1);
  }

  synchronized void put(String table, String key, Object value) {
    version++;
    Key at = new Key(table, "", key);
    String text =
        Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
    rows.put(at, new Row(at, text, version, false));
    notifyAll();
  }

  synchronized void drop(String table, String key) {
    Key at = new Key(table, "", key);
    if (rows.containsKey(at)) {
      version++;
      rows.put(at, new Row(at, "", version, true));
      notifyAll();
    }
  }

  private Web.Reply handle(int machine, Web.Call call) throws InterruptedException {
    switch (call.path()) {
      case "/-/rows-tx":
        Thread.sleep(TRANSACTION_MILLIS);
        return transaction(machine, Json.object(call.body()));
      case "/-/rows-get":
        Thread.sleep(ANSWER_MILLIS);
        return range(call.query());
      case "/-/rows-feed":
        Thread.sleep(ANSWER_MILLIS);
        return feed(call.query());
      case "/-/rows-parts":
        Thread.sleep(ANSWER_MILLIS);
        return parts(call.query());
      default:
        return new Web.Reply(404, "{}");
    }
  }

  private static Key key(Map<String, Object> row) {
    return new Key(
        Json.string(row, "table"), Json.string(row, "part"), Json.string(row, "key"));
  }

  private synchronized Web.Reply transaction(int machine, Map<String, Object> body) {
    List<Map<String, Object>> expected = Json.objects(body.get("expected"));
    List<Map<String, Object>> writes = Json.objects(body.get("writes"));
    List<Map<String, Object>> removals = Json.objects(body.get("remove"));
    for (Map<String, Object> row : writes) {
      if (List.of("op", "servers").contains(Json.string(row, "table"))) {
        return new Web.Reply(403, "{}");
      }
    }
    boolean holds = true;
    List<Row> current = new ArrayList<>();
    for (Map<String, Object> row : expected) {
      Row now = rows.get(key(row));
      long is = now == null || now.deleted() ? 0 : now.version();
      holds &= is == Json.number(row, "schema_version");
      if (is != 0) {
        current.add(now);
      }
    }
    if (!holds) {
      return new Web.Reply(412, answer(current, false));
    }
    version++;
    for (Map<String, Object> row : writes) {
      Key at = key(row);
      rows.put(at, new Row(at, Json.string(row, "value"), version, false));
      lastWriters.put(at.table(), machine);
    }
    for (Map<String, Object> row : removals) {
      Key at = key(row);
      if (rows.containsKey(at)) {
        rows.put(at, new Row(at, "", version, true));
      }
    }
    if (!expected.isEmpty()) {
      lastConditionalWriter = machine;
    }
    notifyAll();
    return new Web.Reply(200, answer(List.of(), false));
  }

  private synchronized Web.Reply range(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    String target = query.getOrDefault("target", "");
    long limit = Math.min(500, Long.parseLong(query.getOrDefault("limit", "500")));
    List<Row> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.values()) {
      Key at = row.key();
      boolean in =
          !row.deleted()
              && at.table().equals(query.get("table"))
              && at.part().equals(query.getOrDefault("part", ""))
              && at.key().compareTo(from) >= 0
              && (target.isEmpty() || at.key().compareTo(target) < 0);
      if (in && found.size() == limit) {
        more = true;
        break;
      }
      if (in) {
        found.add(row);
      }
    }
    return new Web.Reply(200, answer(found, more));
  }

  private synchronized Web.Reply feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (true) {
      List<Row> changed =
          rows.values().stream()
              .filter(row -> row.key().table().equals(query.get("table")))
              .filter(row -> row.version() > after)
              .sorted((a, b) -> Long.compare(a.version(), b.version()))
              .toList();
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || left <= 0) {
        return new Web.Reply(200, answer(changed, false));
      }
      wait(left);
    }
  }

  private synchronized Web.Reply parts(Map<String, String> query) {
    List<Object> parts = new ArrayList<>();
    rows.values().stream()
        .filter(row -> !row.deleted() && row.key().table().equals(query.get("table")))
        .map(row -> row.key().part())
        .distinct()
        .forEach(parts::add);
    return new Web.Reply(200, Json.write(Map.of("parts", parts)));
  }

  private String answer(List<Row> found, boolean more) {
    List<Object> list = new ArrayList<>();
    for (Row row : found) {
      Map<String, Object> node = new LinkedHashMap<>();
      node.put("table", row.key().table());
      node.put("part", row.key().part());
      node.put("key", row.key().key());
      node.put("schema_version", row.version());
      if (row.deleted()) {
        node.put("deleted", true);
      } else {
        node.put("value", row.value());
      }
      list.add(node);
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("rows", list);
    body.put("has_more", more);
    body.put("schema_version", version);
    body.put("now_ms", System.nanoTime() / 1_000_000);
    return Json.write(body);
  }
}
