package org.cottontack.core.ownership;

import java.util.Map;
import java.util.TreeMap;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.StoredValue;

/**
 * The members of a data centre that share its workers and endpoints.
 *
 * @param epoch counts up by one with each change of members
 * @param members each member with the epoch it joined in
 */
public record AssignmentRecord(long epoch, Map<InstanceId, Long> members) implements StoredValue {

  /** No members yet. */
  public static final AssignmentRecord NONE = new AssignmentRecord(0, Map.of());

  /** Keeps the members immutable. */
  public AssignmentRecord {
    members = Map.copyOf(members);
  }

  /** Returns the next epoch with one member more. */
  public AssignmentRecord joinedBy(InstanceId instance) {
    Map<InstanceId, Long> next = new TreeMap<>(members);
    next.putIfAbsent(instance, epoch + 1);
    return new AssignmentRecord(epoch + 1, next);
  }

  /** Returns the next epoch without some members. */
  public AssignmentRecord without(Iterable<InstanceId> removed) {
    Map<InstanceId, Long> next = new TreeMap<>(members);
    removed.forEach(next::remove);
    return new AssignmentRecord(epoch + 1, next);
  }
}
