package org.cottontack.core.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.cottontack.core.id.InstanceId;

/**
 * Rendezvous (highest random weight) hashing (Thaler and Ravishankar, 1998). Each pair of a member
 * and a resource has a score, and the member with the highest score owns the resource. When a
 * member joins or leaves, only its own share moves.
 */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /** Returns the member that owns the resource, or empty if there are no members. */
  public static Optional<InstanceId> owner(String resource, Collection<InstanceId> members) {
    return members.stream()
        .max(
            Comparator.<InstanceId>comparingLong(member -> score(resource, member))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long score(String resource, InstanceId member) {
    long hash = FNV_OFFSET;
    hash = fold(hash, member.value());
    hash = fold(hash, resource);
    return mix(hash);
  }

  private static long fold(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /**
   * Applies the finalizer of SplitMix64 (Steele, Lea and Flood, 2014), because FNV alone mixes the
   * high bits poorly.
   */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
