package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.NodeStatus;
import org.testng.annotations.Test;

/** When the latest cancellations are repeated to the holders. */
public final class CancellationRepeatsTest {
    private static final NodeStatus HOLDER = status("a");
    private static final NodeStatus NEXT_HOLDER = status("b");
    private static final long LATER_MILLIS = CancellationRepeats.MIN_INTERVAL_MILLIS;

    private static NodeStatus status(String node) {
        return new NodeStatus(
                NodeId.of(node),
                FailureDomain.of("hobart"),
                new Address("10.0.0.1", 7_000),
                750,
                false,
                false,
                1,
                new DrainedDomains(0, ImmutableSet.of()),
                ImmutableList.of());
    }

    /** Guards against cancellations that are repeated without end to a holder that has them. */
    @Test
    public void testTakeDue_calm() {
        CancellationRepeats repeats = new CancellationRepeats();
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), 0), ImmutableSet.of(HOLDER.node()));
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), 10 * LATER_MILLIS), ImmutableSet.of());
    }

    /** Guards against a new holder that has missed the cancellations. */
    @Test
    public void testTakeDue_otherHolder() {
        CancellationRepeats repeats = new CancellationRepeats();
        repeats.takeDue(ImmutableList.of(HOLDER), 0);
        assertEquals(repeats.takeDue(ImmutableList.of(NEXT_HOLDER), LATER_MILLIS), ImmutableSet.of(NEXT_HOLDER.node()));
    }

    /** Guards against repetitions with each of many connections that close, and against one that is left out. */
    @Test
    public void testTakeDue_connectionsCloseInSeries() {
        CancellationRepeats repeats = new CancellationRepeats();
        repeats.takeDue(ImmutableList.of(HOLDER), 0);
        repeats.connectionLost();
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), LATER_MILLIS - 1), ImmutableSet.of());
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), LATER_MILLIS), ImmutableSet.of(HOLDER.node()));
        repeats.connectionLost();
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), LATER_MILLIS + 1), ImmutableSet.of());
        assertEquals(repeats.takeDue(ImmutableList.of(HOLDER), 2 * LATER_MILLIS), ImmutableSet.of(HOLDER.node()));
    }
}
