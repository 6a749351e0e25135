package org.tarragonarch.entry.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.core.status.QuotaStatus;
import org.tarragonarch.entry.log.NoteLog;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.report.NodePhase;
import org.testng.annotations.Test;

/** Guards against documentation of a metric that the node does not have: an alert on it would never fire. */
public final class MetricsPageTest {
    private static final Path DOCS = Path.of("..", "docs");
    private static final Pattern IN_TABLE = Pattern.compile("^\\| `(tarragonarch_[a-z_]+)`", Pattern.MULTILINE);
    private static final Pattern IN_SCRAPE = Pattern.compile("^# TYPE (tarragonarch_[a-z_]+) ", Pattern.MULTILINE);
    private static final FailureDomain DOMAIN = FailureDomain.of("hobart");
    private static final TeamName TEAM = TeamName.of("members");

    @Test
    public void testPage_namesEveryFigure() throws IOException {
        try (NodeMetrics metrics = NodeMetrics.create(NodeId.of("hobart-1"))) {
            metrics.httpEvents("caller");
            metrics.recordAnswer(SubmissionForm.JOB, "complete", "none", Duration.ofMillis(5));
            metrics.countRefusal("malformed");
            metrics.recordPlatformCall("read-vm-list", false, Duration.ofMillis(1));
            metrics.addGauge("control.queue.events", null, "-", () -> 0);
            metrics.addGauge("callers.waiting", null, "-", () -> 0);
            metrics.addGauge("bodies.stored", "bytes", "-", () -> 0);
            metrics.addGauge("endpoint.exchanges", null, "-", () -> 0);
            metrics.status().update(status());

            Set<String> scraped = names(IN_SCRAPE, metrics.scrape());
            scraped.removeIf(name -> name.endsWith("_seconds_max"));
            assertEquals(scraped, names(IN_TABLE, Files.readString(DOCS.resolve("METRICS.md"))));
        }
    }

    @Test
    public void testLogPage_namesEveryNote() throws IOException {
        String page = Files.readString(DOCS.resolve("LOGS.md"));
        for (NoteEvent event : NoteEvent.values()) {
            assertTrue(page.contains("`" + NoteLog.word(event) + "`"), event.toString());
        }
    }

    private static Set<String> names(Pattern pattern, String text) {
        Set<String> names = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    static NodeStatus status() {
        ConfigurationVersion version = ConfigurationVersion.of(1);
        return new NodeStatus(
                NodeId.of("hobart-1"),
                Incarnation.of(1),
                DOMAIN,
                NodePhase.SERVING,
                version,
                0,
                ImmutableList.of(new EndpointStatus(
                        EndpointId.of("w1"), DOMAIN, Address.parse("127.0.0.1:1"), 8, 0, "live", "list")),
                ImmutableList.of(new PeerStatus(NodeId.of("hobart-2"), DOMAIN, true, NodePhase.SERVING, version)),
                ImmutableList.of(new QueueStatus(ServiceName.of("proof-board"), TEAM, 1, 2)),
                ImmutableList.of(new QuotaStatus(TEAM, 1, 2, 3)));
    }
}
