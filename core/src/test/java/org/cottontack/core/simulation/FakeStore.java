package org.cottontack.core.simulation;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.cottontack.core.store.StoredValue;
import org.cottontack.core.store.Write;

/** The platform's table service in memory; transactions are atomic. */
public final class FakeStore {

  private final TreeMap<String, StoreRow> rows = new TreeMap<>();
  private int commits;

  /**
   * Commits writes if all their conditions hold, and returns the conflicting rows, or an empty list
   * if the writes were committed.
   */
  public List<StoreRow> commit(List<Write> writes) {
    List<StoreRow> conflicts =
        writes.stream()
            .flatMap(write -> write.mutations().stream())
            .filter(m -> row(m.key()).version() != m.expectedVersion())
            .map(m -> row(m.key()))
            .toList();
    if (conflicts.isEmpty()) {
      commits++;
      writes.forEach(write -> write.mutations().forEach(m -> apply(write, m)));
    }
    return conflicts;
  }

  private void apply(Write write, Mutation mutation) {
    StoreKey key = mutation.key();
    if (mutation.action() == Mutation.Action.PUT) {
      long version = mutation.expectedVersion() + 1;
      rows.put(key.value(), new StoreRow(key, version, write.writeId(), mutation.value()));
    } else if (mutation.action() == Mutation.Action.DELETE) {
      rows.remove(key.value());
    }
  }

  /** Returns a row, or an absent row if the key has none. */
  public StoreRow row(StoreKey key) {
    return rows.getOrDefault(key.value(), StoreRow.absent(key));
  }

  /** Returns the content of a row. */
  public <T extends StoredValue> Optional<T> value(StoreKey key, Class<T> type) {
    return Optional.ofNullable(row(key).value()).map(type::cast);
  }

  /** Returns all rows under a prefix. */
  public List<StoreRow> scan(String prefix) {
    return rows.tailMap(prefix).values().stream()
        .takeWhile(row -> row.key().value().startsWith(prefix))
        .toList();
  }

  /** Returns the number of transactions that took effect. */
  public int commits() {
    return commits;
  }
}
