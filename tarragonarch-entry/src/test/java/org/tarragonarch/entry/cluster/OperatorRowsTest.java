package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.StoreRow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The effect of the rows that operators write. */
@Test(singleThreaded = true)
public final class OperatorRowsTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final String CONFIGURATION = "{\"Version\":9,\"Routes\":[]}";

    private final SettableTimers timers = new SettableTimers();
    private List<String> calls;
    private OperatorRows rows;

    @BeforeMethod
    public void createRows() {
        calls = new ArrayList<>();
        DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
        ConfigurationInForce configuration = new ConfigurationInForce(2_000, timers, timers::nowMillis, log);
        rows = new OperatorRows(
                configuration,
                () -> calls.add("configuration " + configuration.version()),
                drained -> calls.add(describe(drained)),
                timers,
                log,
                new NodeMeters(() -> 0, () -> 0));
    }

    private static String describe(DrainedDomains drained) {
        return ImmutableSet.copyOf(ImmutableList.sortedCopyOf(drained.domains())) + " at " + drained.version();
    }

    private static RowPage page(long version, StoreRow... written) {
        return new RowPage(ImmutableList.copyOf(written), version);
    }

    private static StoreRow row(String key, String value) {
        return new StoreRow(key, value.getBytes(StandardCharsets.UTF_8), false);
    }

    private static StoreRow drain(FailureDomain domain) {
        return row("evacuate/" + domain, "{}");
    }

    private static StoreRow undrain(FailureDomain domain) {
        return new StoreRow("evacuate/" + domain, new byte[0], true);
    }

    /** Guards against a node that starts during a drain and places tasks before it learns of the drain. */
    @Test
    public void testReplaced_drainsBeforeConfiguration() {
        rows.tableReplaced(page(4, row("config", CONFIGURATION), drain(HOBART)));
        assertEquals(calls, ImmutableList.of("[hobart] at 4", "configuration 9"));
    }

    @Test
    public void testChanged_drainsEndInTurn() {
        rows.rowsChanged(page(4, drain(HOBART), drain(LAUNCESTON)));
        rows.rowsChanged(page(6, undrain(HOBART)));
        rows.rowsChanged(page(8, undrain(LAUNCESTON)));
        assertEquals(calls, ImmutableList.of("[hobart, launceston] at 4", "[launceston] at 6", "[] at 8"));
    }

    /** Guards against a domain that stays drained because it was undrained while the store's history was lost. */
    @Test
    public void testReplaced_unlistedDomainNotDrained() {
        rows.rowsChanged(page(4, drain(HOBART)));
        rows.tableReplaced(page(9, drain(LAUNCESTON)));
        assertEquals(calls, ImmutableList.of("[hobart] at 4", "[launceston] at 9"));
    }

    /** Guards against a malformed row that prevents a node from drained the other rows. */
    @Test
    public void testChanged_skipsUnreadableDomain() {
        rows.rowsChanged(page(4, row("evacuate/Not A Domain!", "{}"), drain(HOBART)));
        assertEquals(calls, ImmutableList.of("[hobart] at 4"));
    }
}
