package org.tarragonarch.model.collect;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests which entry a full map evicts. */
public final class BoundedMapsTest {
    private static Map<Integer, String> filled(Map<Integer, String> map) {
        map.put(1, "a");
        map.put(2, "b");
        map.get(1);
        map.put(3, "c");
        return map;
    }

    /** Guards against a map that grows without a bound. */
    @Test
    public void testEvictingEldest_dropsFirstInserted() {
        assertEquals(filled(BoundedMaps.evictingEldest(2)).keySet(), ImmutableSet.of(2, 3));
    }

    /** Guards against the eviction of an entry that is still in use. */
    @Test
    public void testEvictingLeastRecentlyAccessed_keepsAccessed() {
        assertEquals(filled(BoundedMaps.evictingLeastRecentlyAccessed(2)).keySet(), ImmutableSet.of(1, 3));
    }
}
