package org.cottontack.core.ownership;

import java.util.Map;
import java.util.TreeMap;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.StoredValue;

/**
 * The entry instances of a data centre among which its workers and endpoints are divided. Stored in
 * the platform's table service.
 *
 * @param epoch incremented by one with each change of members
 * @param members each member with the epoch in which it joined
 */
public record AssignmentRecord(long epoch, Map<InstanceId, Long> members) implements StoredValue {

  /** No members yet. */
  public static final AssignmentRecord NONE = new AssignmentRecord(0, Map.of());

  /** Copies the members into an immutable map. */
  public AssignmentRecord {
    members = Map.copyOf(members);
  }

  /** Returns the assignment of the next epoch, with the instance added. */
  public AssignmentRecord joinedBy(InstanceId instance) {
    Map<InstanceId, Long> next = new TreeMap<>(members);
    next.putIfAbsent(instance, epoch + 1);
    return new AssignmentRecord(epoch + 1, next);
  }

  /** Returns the assignment of the next epoch, without the given members. */
  public AssignmentRecord without(Iterable<InstanceId> removed) {
    Map<InstanceId, Long> next = new TreeMap<>(members);
    removed.forEach(next::remove);
    return new AssignmentRecord(epoch + 1, next);
  }
}
