package org.cottontack.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cottontack.adapters.store.StoreMessages.Change;
import org.cottontack.adapters.store.StoreMessages.StoredRow;
import org.cottontack.core.store.Mutation;

/** In-memory table of versioned rows, changed by atomic transactions. */
final class Rows {

  private final SortedMap<String, StoredRow> rows = new TreeMap<>();
  private long commits;
  private long scans;

  /**
   * Applies all changes, or none if the version of a row is not the expected one.
   *
   * @return the rows with another version; empty if the changes were applied
   */
  synchronized List<StoredRow> commit(List<Change> changes) {
    List<StoredRow> conflicts = new ArrayList<>();
    for (Change change : changes) {
      StoredRow row = rows.getOrDefault(change.key(), absent(change.key()));
      if (row.version() != change.expectedVersion()) {
        conflicts.add(row);
      }
    }
    if (conflicts.isEmpty()) {
      changes.forEach(this::apply);
      commits++;
    }
    return conflicts;
  }

  private void apply(Change change) {
    if (change.action() == Mutation.Action.PUT) {
      long version = change.expectedVersion() + 1;
      rows.put(
          change.key(),
          new StoredRow(change.key(), version, change.writeId(), change.kind(), change.value()));
    } else if (change.action() == Mutation.Action.DELETE) {
      rows.remove(change.key());
    }
  }

  synchronized List<StoredRow> scan(String prefix) {
    scans++;
    return rows.tailMap(prefix).entrySet().stream()
        .takeWhile(entry -> entry.getKey().startsWith(prefix))
        .map(Map.Entry::getValue)
        .toList();
  }

  synchronized Map<String, Long> counts() {
    return Map.of("commits", commits, "scans", scans, "rows", (long) rows.size());
  }

  private static StoredRow absent(String key) {
    return new StoredRow(key, 0, "", null, null);
  }
}
