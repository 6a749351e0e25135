package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.follow.FailedCall;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;
import org.tarragonarch.model.store.StoreResult;
import org.testng.annotations.Test;

/** The metrics that show slow endpoints, full shares and an unreachable store. */
public final class NodeMetersTest {
    private static final byte[] CONFIGURATION = "{\"Version\":9}".getBytes(StandardCharsets.UTF_8);

    private final SettableTimers timers = new SettableTimers();
    private final DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
    private final NodeMeters meters = new NodeMeters(() -> 0, () -> 0);

    private void assertShows(String line) {
        assertTrue(meters.scrape().lines().anyMatch(line::equals), line + " is not in " + meters.scrape());
    }

    /** Guards against a slow endpoint that does not show in the metrics of its holder. */
    @Test
    public void testScrape_slowEndpoint() {
        meters.watchSpeeds(() -> new SpeedSummary(0.25, 1.0, 1.75));
        assertShows("tarragonarch_endpoints_speed{of=\"slowest\"} 0.25");
        assertShows("tarragonarch_endpoints_speed{of=\"mean\"} 1.0");
        assertShows("tarragonarch_endpoints_speed{of=\"fastest\"} 1.75");
    }

    /** Guards against metrics that do not show which share is full or how much it borrows from others. */
    @Test
    public void testScrape_shares() {
        ShareId share = new ShareId("board", 2);
        ShareState state = new ShareState(share, 70_000, 10_000, 20_000, 15_000, 9_000);
        meters.watchShares(
                SharePlan.of(ImmutableList.of(ShareSettings.weighted(2, 1))),
                () -> ImmutableList.of(state),
                () -> ImmutableMap.of(2, 4_000L));
        assertShows("tarragonarch_share_jobs_refused_total{priority=\"2\"} 0.0");
        meters.jobRefusedInShare(share);
        assertShows("tarragonarch_share_allotted_cores{priority=\"2\"} 20.0");
        assertShows("tarragonarch_share_used_cores{priority=\"2\"} 15.0");
        assertShows("tarragonarch_share_lent_cores{priority=\"2\"} 5.0");
        assertShows("tarragonarch_share_waiting_cores{priority=\"2\"} 9.0");
        assertShows("tarragonarch_share_used_elsewhere_cores{priority=\"2\"} 4.0");
        assertShows("tarragonarch_share_jobs_refused_total{priority=\"2\"} 1.0");
    }

    /** Guards against metrics that do not show an outdated configuration and failing store calls. */
    @Test
    public void testScrape_storeSilent() {
        ConfigurationInForce configuration = new ConfigurationInForce(2_000, timers, timers::nowMillis, log);
        meters.watchConfiguration(configuration);
        OperatorRows rows = new OperatorRows(configuration, () -> {}, drained -> {}, timers, log, meters);
        assertShows("tarragonarch_configuration_version 0.0");
        assertShows("tarragonarch_configuration_age_seconds NaN");
        configuration.updateIfNewer(CONFIGURATION, "store");
        rows.currentAsOf(timers.nowMillis());
        timers.advance(5_000);
        rows.storeLost(new FailedCall(StoreResult.UNKNOWN, 2_000, 5_000));
        rows.storeStillLost(new FailedCall(StoreResult.UNKNOWN, 1_000, 5_000));
        assertShows("tarragonarch_configuration_version 9.0");
        assertShows("tarragonarch_configuration_age_seconds 5.0");
        assertShows("tarragonarch_store_answer_age_seconds{table=\"operator\"} 5.0");
        assertShows("tarragonarch_store_calls_failed_total{table=\"operator\"} 2.0");
    }
}
