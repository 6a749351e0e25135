package org.tarragonarch.standin.explore;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class ExplorerTest {
    private static final int SEEDS = 1_500;

    /** Guards against tasks run twice, false not-run answers and lost answers under random faults. */
    @Test
    public void testRun_keepsPromises() {
        Explorer explorer = new Explorer();
        List<String> findings = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS && findings.isEmpty(); seed++) {
            explorer.run(seed).ifPresent(finding -> findings.add(finding.toString()));
        }
        assertEquals(findings, List.of());
    }

    /** Guards against a checker that counts attempts over a cut link as new work of a leaving endpoint. */
    @Test
    public void testRun_attemptOverCutLinkIsNotNewWork() {
        assertEquals(new Explorer().run(20_644), Optional.empty());
    }

    /** Guards against a missed deadline when a leaving node asks to be woken at a time in the past. */
    @Test
    public void testRun_deadlineOfLeavingNode() {
        assertEquals(new Explorer().run(84_215), Optional.empty());
    }

    @Test
    public void testRun_isDeterministic() {
        Explorer first = new Explorer();
        Explorer second = new Explorer();
        first.run(42);
        second.run(42);
        assertEquals(second.steps(), first.steps());
        assertEquals(second.starts(), first.starts());
    }
}
