package org.tarragonarch.core.placement;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import org.testng.annotations.Test;

/** Guards against a change of the values of the setting "placement" through the rename of a constant. */
public final class OuterNamesTest {
    @Test
    public void testPlacementStrategy_wordsAreTheseOnly() {
        ImmutableSet<String> words = Arrays.stream(PlacementStrategy.values())
                .map(PlacementStrategy::word)
                .collect(ImmutableSet.toImmutableSet());
        assertEquals(words, ImmutableSet.of("random", "two-choices", "least-loaded", "slot-shares"));
    }
}
