package org.tarragonarch.benchmark.decision;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class DecisionsTest {
    @Test
    public void testPlace_keepsItsSize() {
        Decisions decisions = new Decisions(30, 50);
        for (int i = 0; i < 2000; i++) {
            decisions.place();
        }
        assertEquals(decisions.queue.queuedTasks(), 500, 10);
        assertEquals(
                decisions.directory.views().loads().stream()
                        .mapToInt(load -> load.inFlight())
                        .sum(),
                120);
    }
}
