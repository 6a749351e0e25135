package org.tarragonarch.ctl.share;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class MetricsPageTest {
    /** Guards against lines of other metrics that break the table of shares. */
    @Test
    public void testParse_skipsOtherLines() {
        MetricsPage page = MetricsPage.parse("""
                # TYPE tarragonarch_share_used_cores gauge
                tarragonarch_share_used_cores{priority="0"} 41.5
                tarragonarch_share_used_cores{priority="2"} 1.2E7
                tarragonarch_share_jobs_refused_total{priority="2"} 3.0
                tarragonarch_jobs_open 3.0
                """);
        assertEquals(page.values().get(0, "used_cores"), 41.5);
        assertEquals(page.values().get(2, "used_cores"), 1.2e7);
        assertEquals(page.values().get(2, "jobs_refused_total"), 3.0);
        assertEquals(page.values().size(), 3);
    }
}
