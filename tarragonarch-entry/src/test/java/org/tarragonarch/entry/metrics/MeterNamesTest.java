package org.tarragonarch.entry.metrics;

import java.io.IOException;
import java.time.Duration;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.entry.MeterNames;
import org.tarragonarch.model.id.NodeId;
import org.testng.annotations.Test;

/** Tests the names and labels of the metrics of a node. */
public final class MeterNamesTest {
    /** Guards against a renamed constant that changes a label used by alerts and dashboards. */
    @Test
    public void testScrape_seriesMatchResource() throws IOException {
        try (NodeMetrics metrics = NodeMetrics.create(NodeId.of("n"))) {
            metrics.httpEvents("caller");
            for (SubmissionForm form : SubmissionForm.values()) {
                metrics.recordAnswer(form, "o", "c", Duration.ofMillis(5));
            }
            metrics.countRefusal("c");
            metrics.recordPlatformCall("p", false, Duration.ofMillis(1));
            metrics.recordPlatformCall("p", true, Duration.ofMillis(1));
            metrics.addGauge("g", "bytes", "-", () -> 0);
            metrics.status().update(MetricsPageTest.status());
            MeterNames.assertSeries(metrics.scrape(), "/outer-names/node-metrics.txt");
        }
    }
}
