package org.tarragonarch.core.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.TeamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TeamQuotasTest {
    private static final TeamName TEAM = TeamName.of("press");

    @DataProvider
    public Object[][] quotasAndNodes() {
        return new Object[][] {{200, 3}, {2, 3}, {1, 7}, {7, 7}, {100, 8}, {0, 2}};
    }

    @Test(dataProvider = "quotasAndNodes")
    public void testShare_sumIsTheQuota(int quota, int nodes) {
        // A team may run two tasks in a domain of three nodes. If each node allowed at least one, three would run.
        ImmutableSet<NodeId> all = IntStream.range(0, nodes)
                .mapToObj(number -> NodeId.of("hobart-" + number))
                .collect(ImmutableSet.toImmutableSet());
        int sum = 0;
        for (NodeId node : all) {
            TeamQuotas quotas = TeamQuotas.create(team -> quota);
            quotas.sharers(node, all);
            sum += quotas.share(TEAM);
        }
        assertEquals(sum, quota);
    }

    @Test
    public void testShare_countOnlyStaysWithinTheQuota() {
        TeamQuotas quotas = TeamQuotas.create(team -> 200);
        quotas.nodes(3);
        assertEquals(quotas.share(TEAM), 66);
    }

    @Test
    public void testMayStart_untilShareIsUsed() {
        TeamQuotas quotas = TeamQuotas.create(team -> 2);
        quotas.started(TEAM);
        assertTrue(quotas.mayStart(TEAM));
        quotas.started(TEAM);
        assertFalse(quotas.mayStart(TEAM));
        quotas.ended(TEAM);
        assertTrue(quotas.mayStart(TEAM));
        assertEquals(quotas.status().get(0).running(), 1);
    }
}
