package org.cottontack.adapters.json;

import java.util.Locale;
import java.util.stream.Stream;
import org.cottontack.adapters.AdapterException;
import org.cottontack.core.ownership.AssignmentRecord;
import org.cottontack.core.ownership.LeaseRecord;
import org.cottontack.core.request.ClaimRecord;
import org.cottontack.core.store.StoredValue;
import org.cottontack.core.table.TablePointer;
import org.cottontack.core.table.TableRecord;
import org.cottontack.core.task.TaskRecord;

/** The kinds of values that a row of the store can hold, each with its Java type. */
public enum ValueKind {
  /** The lease of an entry instance. */
  LEASE(LeaseRecord.class),
  /** The members of a data centre. */
  ASSIGNMENT(AssignmentRecord.class),
  /** A claim on a request. */
  CLAIM(ClaimRecord.class),
  /** The operators' table. */
  TABLE(TableRecord.class),
  /** The version of the table that is in force. */
  TABLE_POINTER(TablePointer.class),
  /** A task. */
  TASK(TaskRecord.class);

  private final Class<? extends StoredValue> type;

  ValueKind(Class<? extends StoredValue> type) {
    this.type = type;
  }

  /** Returns the Java type of the value. */
  public Class<? extends StoredValue> type() {
    return type;
  }

  /** Returns the name of the kind that is stored beside the value. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind of a value. */
  public static ValueKind of(StoredValue value) {
    return Stream.of(values())
        .filter(kind -> kind.type.isInstance(value))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no kind for " + value.getClass()));
  }

  /**
   * Returns the kind with a stored name.
   *
   * @throws AdapterException with {@link AdapterException.Code#MALFORMED} for an unknown name
   */
  public static ValueKind forWord(String word) {
    return Stream.of(values())
        .filter(kind -> kind.word().equals(word))
        .findFirst()
        .orElseThrow(
            () ->
                new AdapterException(
                    AdapterException.Code.MALFORMED, "unknown kind of row '" + word + "'", null));
  }
}
