package org.tarragonarch.standin.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ConfigurationConflictException;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.platform.PlatformException;
import org.tarragonarch.standin.StandInControl;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConfigurationStoreTest {
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private StandInPlatform platform;
    private StandInControl control;
    private PlatformClient client;
    private ConfigurationStore store;

    @BeforeMethod
    public void start() {
        platform = StandInPlatform.start("127.0.0.1", 0);
        control = StandInControl.of(platform.address());
        client = PlatformClient.create(platform.address(), TIMEOUT);
        store = client.configurationStore();
    }

    @AfterMethod
    public void stop() {
        client.close();
        platform.close();
    }

    @Test
    public void testAccept_rowObjectAndAudit() throws Exception {
        assertTrue(store.readRow().isEmpty());

        ConfigurationRow first = accept(0, "ann", "{}");
        ConfigurationRow second = accept(1, "ben", "{\"teams\":{}}");

        assertEquals(store.readRow().orElseThrow(), second);
        assertEquals(new String(store.load(first.digest()), StandardCharsets.UTF_8), "{}");
        assertEquals(store.history(5), List.of(record(1, "ben", "{\"teams\":{}}"), record(0, "ann", "{}")));
        assertEquals(store.history(1).size(), 1);
    }

    @Test
    public void testAccept_concurrentChangeNamesWinner() throws Exception {
        // Two operators change version 0 concurrently, and a third changes the winner's version before the loser's
        // write
        // arrives. Guards against naming the operator of the newest version to the loser instead of the winner.
        accept(0, "ann", "{}");
        accept(1, "cid", "{\"services\":{}}");

        ConfigurationConflictException conflict =
                expectThrows(ConfigurationConflictException.class, () -> accept(0, "ben", "{\"teams\":{}}"));

        assertEquals(conflict.accepted().operator(), OperatorName.of("ann"));
        assertEquals(store.readRow().orElseThrow().version(), ConfigurationVersion.of(2));
    }

    @Test
    public void testAccept_replyLostIsResolvedByChangeId() throws Exception {
        // The transaction takes effect and its reply is lost. Guards against reporting the change as not accepted, and
        // against a second entry in the audit trail.
        control.switchOnFault("reply-lost?part=tables&count=1");

        ConfigurationRow accepted = accept(0, "ann", "{}");

        assertEquals(store.readRow().orElseThrow(), accepted);
        assertEquals(store.history(5).size(), 1);
    }

    @Test
    public void testAccept_replyLostAndReadStale() throws Exception {
        // The reply is lost, and the read that follows returns the old row. Guards against reporting the accepted
        // change
        // as refused; sending the same transaction again shows that it was accepted.
        accept(0, "ann", "{}");
        control.switchOnFault("stale?table=configuration&key=current");
        control.switchOnFault("reply-lost?part=tables&count=1");

        ConfigurationRow accepted = accept(1, "ben", "{\"teams\":{}}");

        control.clearFaults();
        assertEquals(store.readRow().orElseThrow(), accepted);
        assertEquals(store.history(5).size(), 2);
    }

    @Test
    public void testAccept_staleReadBeforeFirstAttempt() throws Exception {
        // A stale read returns no row although version 1 exists, so that the insertion fails. Guards against a failure
        // that does not name the operator ann, whose change of version 0 won.
        control.switchOnFault("stale?table=configuration&key=current");
        accept(0, "ann", "{}");

        ConfigurationConflictException conflict =
                expectThrows(ConfigurationConflictException.class, () -> accept(0, "ben", "{\"teams\":{}}"));

        assertEquals(conflict.accepted().operator(), OperatorName.of("ann"));
    }

    @Test
    public void testAccept_objectStoreOutageChangesNothing() throws Exception {
        control.switchOnFault("out?part=objects");

        PlatformException out = expectThrows(PlatformException.class, () -> accept(0, "ann", "{}"));

        assertFalse(out.mayHaveApplied());
        assertEquals(out.peer(), "object store");
        assertTrue(store.readRow().isEmpty());
    }

    @Test
    public void testAccept_objectReplyLostIsStoredAgain() throws Exception {
        control.switchOnFault("reply-lost?part=objects&count=1");

        ConfigurationRow accepted = accept(0, "ann", "{}");

        assertEquals(store.readRow().orElseThrow(), accepted);
    }

    @Test
    public void testAccept_replyLostAndReadsFail() throws Exception {
        // The transaction's reply is lost and the table service stops answering, so that the result is unknown. Guards
        // against an error that reports the change as not applied.
        accept(0, "ann", "{}");
        control.switchOnFault("slow?part=tables&ms=0&count=1");
        control.switchOnFault("cut?part=tables");

        PlatformException open = expectThrows(PlatformException.class, () -> accept(1, "ben", "{\"teams\":{}}"));

        assertTrue(open.mayHaveApplied());
    }

    @Test
    public void testAccept_firstReadFailsChangesNothing() throws Exception {
        control.switchOnFault("silent?part=tables&count=1");

        PlatformException failed = expectThrows(PlatformException.class, () -> accept(0, "ann", "{}"));

        assertFalse(failed.mayHaveApplied());
        assertTrue(store.readRow().isEmpty());
    }

    @Test
    public void testLoad_unknownObject() {
        expectThrows(PlatformException.class, () -> store.load(ContentDigest.of(new byte[] {1})));
    }

    private ConfigurationRow accept(long from, String operator, String text)
            throws ConfigurationConflictException, PlatformException {
        return store.accept(record(from, operator, text), text.getBytes(StandardCharsets.UTF_8));
    }

    private static AuditRecord record(long from, String operator, String text) {
        ConfigurationVersion replaced = ConfigurationVersion.of(from);
        return new AuditRecord(
                replaced.next(),
                replaced,
                ContentDigest.of(text.getBytes(StandardCharsets.UTF_8)),
                new ChangeId("change-of-" + operator),
                OperatorName.of(operator),
                Instant.parse("2026-12-02T20:00:00Z"),
                "a change by " + operator);
    }
}
