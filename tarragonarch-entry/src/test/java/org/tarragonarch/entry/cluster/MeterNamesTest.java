package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.entry.MeterNames;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;
import org.tarragonarch.model.store.StoreTable;
import org.testng.annotations.Test;

/** The names and labels of the meters of a node on the users' platform. */
public final class MeterNamesTest {
    /** Guards against a renamed constant that changes a label used by alerts and dashboards. */
    @Test
    public void testScrape_seriesNames() throws IOException {
        SettableTimers timers = new SettableTimers();
        DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
        NodeMeters meters = new NodeMeters(() -> 0, () -> 0);
        for (StoreTable table : StoreTable.values()) {
            meters.watchStore(table, () -> 0);
        }
        meters.watchConfiguration(new ConfigurationInForce(2_000, timers, timers::nowMillis, log));
        meters.watchDrainedDomains(() -> 0);
        meters.watchShares(
                SharePlan.of(ImmutableList.of(ShareSettings.weighted(2, 1))), ImmutableList::of, ImmutableMap::of);
        meters.watchSpeeds(() -> new SpeedSummary(1, 1, 1));
        MeterNames.assertSeries(meters.scrape(), "/outer-names/node-meters.txt");
    }
}
