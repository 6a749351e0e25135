package org.tarragonarch.core.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.IntStream;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.TeamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SharedLimitsTest {
    private static final TeamName TEAM = TeamName.of("press");
    private static final NodeId SELF = NodeId.of("hobart-0");

    @DataProvider
    public Object[][] limitsAndNodes() {
        return new Object[][] {{200, 3}, {2, 3}, {1, 7}, {7, 7}, {100, 8}, {0, 2}};
    }

    @Test(dataProvider = "limitsAndNodes")
    public void testShare_sumEqualsLimit(int limit, int nodes) {
        // Guards against shares of at least one task for each node: with a limit of two and three nodes, three would
        // run.
        ImmutableSet<NodeId> all = IntStream.range(0, nodes)
                .mapToObj(number -> NodeId.of("hobart-" + number))
                .collect(ImmutableSet.toImmutableSet());
        int sum = 0;
        for (NodeId node : all) {
            SharedLimits<TeamName> limits = SharedLimits.create(node, team -> limit);
            limits.setSharers(all);
            sum += limits.share(TEAM);
        }
        assertEquals(sum, limit);
    }

    @Test
    public void testShare_singleNode() {
        assertEquals(SharedLimits.<TeamName>create(SELF, team -> 200).share(TEAM), 200);
    }

    @Test
    public void testSharers_withoutThisNode() {
        SharedLimits<TeamName> limits = SharedLimits.create(SELF, team -> 200);
        assertThrows(IllegalArgumentException.class, () -> limits.setSharers(ImmutableSet.of(NodeId.of("hobart-1"))));
    }

    @Test
    public void testMayStart() {
        SharedLimits<TeamName> limits = SharedLimits.create(SELF, team -> 2);
        limits.started(TEAM);
        assertTrue(limits.mayStart(TEAM));
        limits.started(TEAM);
        assertFalse(limits.mayStart(TEAM));
        limits.ended(TEAM);
        assertTrue(limits.mayStart(TEAM));
        assertEquals(limits.uses(), List.of(new LimitUse<>(TEAM, 1, 2, 2)));
    }
}
