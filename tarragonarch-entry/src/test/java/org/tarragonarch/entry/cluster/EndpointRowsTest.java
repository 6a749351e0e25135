package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Rows of the endpoints' table, including rows that endpoints did not write. */
public final class EndpointRowsTest {
    private static final String GOOD = "{\"Service\":\"s\",\"Addr\":\"10.0.0.9:8080\",\"Zone\":\"hobart\","
            + "\"State\":\"ready\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768}}";

    private EndpointList endpoints;
    private EndpointRows rows;
    private NodeMeters meters;
    private int changes;

    @BeforeMethod
    public void create() {
        endpoints = new EndpointList();
        DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
        meters = new NodeMeters(() -> 0, () -> 0);
        changes = 0;
        rows = new EndpointRows(
                endpoints, () -> changes++, new SettableTimers(), System::currentTimeMillis, log, meters);
    }

    private static StoreRow row(String key, String value) {
        return new StoreRow(key, value.getBytes(StandardCharsets.UTF_8), false);
    }

    private static StoreRow deleted(String key) {
        return new StoreRow(key, new byte[0], true);
    }

    private static RowPage page(StoreRow... rows) {
        return new RowPage(ImmutableList.copyOf(rows), 1);
    }

    private ImmutableList<String> listed() {
        return endpoints.all().stream()
                .map(EndpointEntry::id)
                .map(EndpointId::value)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    /** Guards against a follower that stops at a key that is not an endpoint id. */
    @Test
    public void testChanged_foreignKey() {
        rows.rowsChanged(page(row("Not An Id", "x"), row("w-1", GOOD)));
        rows.rowsChanged(page(deleted("Not An Id"), row("w-2", GOOD)));
        assertEquals(listed(), ImmutableList.of("w-1", "w-2"));
    }

    /** Guards against an endpoint that stays in use after another program overwrote its entry, before a heartbeat. */
    @Test
    public void testChanged_entryOverwritten() {
        rows.rowsChanged(page(row("w-1", GOOD), row("w-2", GOOD)));
        rows.rowsChanged(page(row("w-1", GOOD.replace("ready", "resting"))));
        assertEquals(listed(), ImmutableList.of("w-2"));
        rows.rowsChanged(page(row("w-1", GOOD)));
        assertEquals(listed(), ImmutableList.of("w-1", "w-2"));
        assertEquals(changes, 3);
        assertEquals(meters.scrape().contains("tarragonarch_endpoint_rows_unreadable_total 1.0"), true);
    }

    /** Guards against an endpoint whose overwritten entry lacks its start time and stays in use after a full read. */
    @Test
    public void testReplaced_entryOverwritten() {
        String started = "{\"born\":1700000000000," + GOOD.substring(1);
        rows.tableReplaced(page(row("w-1", started), row("w-2", GOOD)));
        rows.tableReplaced(page(row("w-1", GOOD), row("w-2", GOOD)));
        assertEquals(listed(), ImmutableList.of("w-2"));
        endpoints.recordStoreLost();
        rows.tableReplaced(page(row("w-1", started), row("w-2", "{}")));
        assertEquals(listed(), ImmutableList.of("w-1"));
    }

    /** Guards against an endpoint that is lost for good to another program's entry with a start time of the future. */
    @Test
    public void testChanged_overwrittenByEntryThatStartsInTheFuture() {
        String started = "{\"born\":1700000000000," + GOOD.substring(1);
        rows.rowsChanged(page(row("w-1", started)));
        rows.rowsChanged(page(row("w-1", started.replace("1700000000000", "9223372036854775807"))));
        assertEquals(listed(), ImmutableList.of());
        rows.rowsChanged(page(row("w-1", started)));
        assertEquals(listed(), ImmutableList.of("w-1"));
        assertEquals(endpoints.all().get(0).incarnation().startedMillis(), 1_700_000_000_000L);
    }

    /** Guards against an endpoint that is not used because the clock of its machine is ahead. */
    @Test
    public void testChanged_endpointStartsInTheFuture() {
        rows.rowsChanged(page(row("w-1", "{\"born\":4000000000000," + GOOD.substring(1))));
        assertEquals(listed(), ImmutableList.of("w-1"));
        assertEquals(endpoints.all().get(0).incarnation().hasStart(), false);
    }

    @Test
    public void testReplaced_skipsForeignRows() {
        rows.tableReplaced(page(row("", GOOD), row("w-1", GOOD), row("w-2", "\u0000"), row("w-3", "{}")));
        assertEquals(listed(), ImmutableList.of("w-1"));
    }
}
