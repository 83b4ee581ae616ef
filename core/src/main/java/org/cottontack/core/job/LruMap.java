package org.cottontack.core.job;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;

/** A map with a limited number of entries that evicts the least recently used one. */
final class LruMap<K, V> extends LinkedHashMap<K, V> {

  @Serial private static final long serialVersionUID = 1L;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;

  LruMap(int maxEntries) {
    super(maxEntries, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
