package org.tarragonarch.standin.explore;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class ExplorerTest {
    private static final int SEEDS = 1_500;

    /**
     * Submissions, resubmissions under the same key, cancels, kills, freezes, cuts, drains and platform faults come in
     * random order; a user would see a task run twice, a false not-run, no answer, or half of one. Each seed is one
     * such story; the checker compares the endpoints' ledger with every answer after every step.
     */
    @Test
    public void testRun_noPromiseIsBroken() {
        Explorer explorer = new Explorer();
        List<String> findings = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS && findings.isEmpty(); seed++) {
            explorer.run(seed).ifPresent(finding -> findings.add(finding.toString()));
        }
        assertEquals(findings, List.of());
    }

    /**
     * A node is cut off from an endpoint that leaves, and keeps trying to connect. Nothing of it arrives, so the
     * endpoint gets no new work; the checker counted the tries as contacts.
     */
    @Test
    public void testRun_triesOverACutLinkAreNoWork() {
        assertEquals(new Explorer().run(20_644), Optional.empty());
    }

    /**
     * A node that leaves has news for its peers just when its drain delay ends. A caller whose deadline passed a moment
     * later was answered 0.8 s late: the reporter went on to name a time already past, the node was not woken again,
     * and the deadline waited for the next event.
     */
    @Test
    public void testRun_deadlineOfALeavingNode() {
        assertEquals(new Explorer().run(84_215), Optional.empty());
    }

    @Test
    public void testRun_sameSeedSameRun() {
        Explorer first = new Explorer();
        Explorer second = new Explorer();
        first.run(42);
        second.run(42);
        assertEquals(second.steps(), first.steps());
        assertEquals(second.starts(), first.starts());
    }
}
