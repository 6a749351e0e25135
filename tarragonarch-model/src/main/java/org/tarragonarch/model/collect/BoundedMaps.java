package org.tarragonarch.model.collect;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;

/** Factories of maps that evict an entry when an insertion would exceed their bound. */
public final class BoundedMaps {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private BoundedMaps() {}

    /**
     * Returns a map that evicts the entry whose key was inserted first.
     *
     * @param maxEntries the maximum number of entries, above 0
     */
    public static <K, V> Map<K, V> evictingEldest(int maxEntries) {
        return create(maxEntries, false);
    }

    /**
     * Returns a map that evicts the least recently accessed entry.
     *
     * @param maxEntries the maximum number of entries, above 0
     */
    public static <K, V> Map<K, V> evictingLeastRecentlyAccessed(int maxEntries) {
        return create(maxEntries, true);
    }

    private static <K, V> Map<K, V> create(int maxEntries, boolean accessOrder) {
        checkArgument(maxEntries > 0, "maxEntries %s is not positive", maxEntries);
        return new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
