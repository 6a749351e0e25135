package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.model.task.QueueLookup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Queue lookups while the configuration is confirmed and while it may be out of date. */
public final class ConfigurationInForceTest {
    /** The time within which a confirmed change must be in force. */
    private static final long IN_FORCE_MILLIS = 2_000;

    private SettableTimers timers;
    private long wall;
    private ConfigurationInForce configuration;

    @BeforeMethod
    public void create() {
        timers = new SettableTimers();
        wall = 1_000_000;
        DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
        configuration = new ConfigurationInForce(IN_FORCE_MILLIS, timers, () -> wall, log);
    }

    private static byte[] version(int version, String prefix) {
        String json = "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"q\",\"Host\":\"h\",\"Prefix\":\"/" + prefix
                + "/\",\"Service\":\"s\",\"Attempts\":1,\"Stretch\":1.6,\"SloMs\":500}]}";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private QueueLookup.Result find(String prefix) {
        return configuration.find("h", "/" + prefix + "/0123456789abcdef").result();
    }

    @Test
    public void testFind_confirmed() {
        assertEquals(find("a"), QueueLookup.Result.UNCERTAIN);
        configuration.updateIfNewer(version(3, "a"), "store");
        configuration.confirm(timers.nowMillis());
        timers.advance(IN_FORCE_MILLIS - 1);
        assertEquals(find("a"), QueueLookup.Result.FOUND);
        assertEquals(find("b"), QueueLookup.Result.UNKNOWN);
    }

    /** Guards against a queue reported as unknown by a node that has not read the store since the queue was added. */
    @Test
    public void testFind_outOfDate() {
        configuration.updateIfNewer(version(3, "a"), "store");
        configuration.confirm(timers.nowMillis());
        timers.advance(IN_FORCE_MILLIS + 1);
        assertEquals(find("b"), QueueLookup.Result.UNCERTAIN);
        assertEquals(find("a"), QueueLookup.Result.FOUND);
        configuration.confirm(timers.nowMillis());
        assertEquals(find("b"), QueueLookup.Result.UNKNOWN);
    }

    /** Guards against a queue reported as unknown by a node whose configuration came from a peer only. */
    @Test
    public void testFind_receivedFromPeerOnly() {
        configuration.updateIfNewer(version(3, "a"), "hobart-2");
        assertEquals(find("a"), QueueLookup.Result.FOUND);
        assertEquals(find("b"), QueueLookup.Result.UNCERTAIN);
    }

    /** Guards against a queue reported as unknown after a suspension, which the monotonic clock does not count. */
    @Test
    public void testFind_afterSuspension() {
        configuration.updateIfNewer(version(3, "a"), "store");
        configuration.confirm(timers.nowMillis());
        wall += 5_000;
        assertEquals(find("b"), QueueLookup.Result.UNCERTAIN);
        configuration.confirm(timers.nowMillis());
        assertEquals(find("b"), QueueLookup.Result.UNKNOWN);
        wall -= 60_000;
        assertEquals(find("b"), QueueLookup.Result.UNKNOWN, "a clock that is set back must not age the confirmation");
    }

    /** Guards against a queue reported as unknown while the store has a newer version that is unreadable. */
    @Test
    public void testFind_newestIsUnreadable() {
        configuration.updateIfNewer(version(3, "a"), "store");
        configuration.confirm(timers.nowMillis());
        assertFalse(configuration.updateIfNewer("{}".getBytes(StandardCharsets.UTF_8), "store"));
        timers.advance(IN_FORCE_MILLIS + 1);
        configuration.confirm(timers.nowMillis());
        assertEquals(find("b"), QueueLookup.Result.UNCERTAIN);
        configuration.updateIfNewer(version(5, "b"), "store");
        configuration.confirm(timers.nowMillis());
        assertEquals(find("a"), QueueLookup.Result.UNKNOWN);
    }

    @Test
    public void testUpdateIfNewer_olderVersion() {
        assertTrue(configuration.updateIfNewer(version(9, "b"), "store"));
        assertFalse(configuration.updateIfNewer(version(3, "a"), "hobart-2"));
        assertFalse(configuration.updateIfNewer("{\"Version\":".getBytes(StandardCharsets.UTF_8), "store"));
        assertEquals(configuration.version(), 9);
        assertEquals(configuration.source(), "store");
    }
}
