package org.cottontack.adapters.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.json.ValueKind;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.cottontack.core.store.StoredValue;
import org.cottontack.core.store.Write;

/** JSON bodies of the requests and responses of the table service. */
public final class StoreMessages {

  private StoreMessages() {}

  /**
   * A transaction.
   *
   * @param changes the changes, which are applied together or not at all
   */
  public record Transaction(List<Change> changes) {}

  /**
   * A conditional change of one row.
   *
   * @param key the key of the row
   * @param expectedVersion the version that the row must have
   * @param action put, delete or check
   * @param writeId the identifier of the write, stored with the row
   * @param kind the kind of the value, or null
   * @param value the value, or null
   */
  public record Change(
      String key,
      long expectedVersion,
      Mutation.Action action,
      String writeId,
      String kind,
      JsonNode value) {}

  /**
   * The current rows.
   *
   * @param rows the rows
   */
  public record Rows(List<StoredRow> rows) {}

  /**
   * One row.
   *
   * @param key the key
   * @param version the version, or 0 if the row does not exist
   * @param writeId the identifier of the write that produced this version
   * @param kind the kind of the value, or null if the row does not exist
   * @param value the value, or null if the row does not exist
   */
  public record StoredRow(String key, long version, String writeId, String kind, JsonNode value) {}

  static Transaction transaction(List<Write> writes) {
    return new Transaction(
        writes.stream()
            .flatMap(write -> write.mutations().stream().map(m -> change(write, m)))
            .toList());
  }

  private static Change change(Write write, Mutation mutation) {
    StoredValue value = mutation.value();
    return new Change(
        mutation.key().value(),
        mutation.expectedVersion(),
        mutation.action(),
        write.writeId(),
        value == null ? null : ValueKind.of(value).word(),
        value == null ? null : Json.mapper().valueToTree(value));
  }

  static List<StoreRow> rows(String text) {
    return Json.read(text, Rows.class).rows().stream().map(StoreMessages::row).toList();
  }

  private static StoreRow row(StoredRow row) {
    StoreKey key = new StoreKey(row.key());
    return row.value() == null || row.value().isNull()
        ? new StoreRow(key, row.version(), row.writeId() == null ? "" : row.writeId(), null)
        : new StoreRow(key, row.version(), row.writeId(), value(row));
  }

  private static StoredValue value(StoredRow row) {
    return Json.read(row.value().toString(), ValueKind.forWord(row.kind()).type());
  }
}
