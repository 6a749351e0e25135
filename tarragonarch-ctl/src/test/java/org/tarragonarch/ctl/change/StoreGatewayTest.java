package org.tarragonarch.ctl.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ConfigurationConflictException;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StoreGatewayTest {
    private static final byte[] TEXT = "{}\n".getBytes(StandardCharsets.UTF_8);
    private static final Instant NOW = Instant.parse("2026-12-02T20:00:00Z");

    private FakeStore store;
    private StoreGateway gateway;

    @BeforeMethod
    public void createGateway() {
        store = new FakeStore();
        gateway = new StoreGateway(store, OperatorName.of("ann"), Clock.fixed(NOW, ZoneOffset.UTC));
    }

    @Test
    public void testNewest_nothingAccepted() throws Exception {
        assertSame(gateway.newest(), ConfigurationView.NONE);
    }

    @Test
    public void testAccept_recordsOperator() throws Exception {
        assertEquals(gateway.accept(change(0)), ConfigurationVersion.of(1));
        AuditRecord record = gateway.audit(1).get(0);
        assertEquals(record.operator(), OperatorName.of("ann"));
        assertEquals(record.when(), NOW);
        assertEquals(record.summary(), "the first");
        assertEquals(gateway.load(ConfigurationVersion.of(1)).canonical(), TEXT);
        assertThrows(PlatformException.class, () -> gateway.load(ConfigurationVersion.of(2)));
    }

    @Test
    public void testAccept_conflict() throws Exception {
        gateway.accept(change(0));
        assertThrows(ChangeConflictException.class, () -> gateway.accept(change(0)));
    }

    /** Guards against a lost reply of the store that is reported as a change that was not made. */
    @Test
    public void testAccept_replyLost() {
        store.failure = new PlatformException("table service", "no reply", true, null);
        ChangeOutcomeUnknownException unsettled =
                expectThrows(ChangeOutcomeUnknownException.class, () -> gateway.accept(change(0)));
        assertEquals(unsettled.getMessage(), "it is unknown whether change c0 was accepted: no reply");
    }

    @Test
    public void testAccept_notApplied() {
        store.failure = new PlatformException("table service", "refused", false, null);
        assertSame(expectThrows(PlatformException.class, () -> gateway.accept(change(0))), store.failure);
    }

    private static ChangeRequest change(long from) {
        return new ChangeRequest(ConfigurationVersion.of(from), new ChangeId("c" + from), "the first", TEXT);
    }

    /** A store that keeps changes in memory. */
    private static final class FakeStore implements ConfigurationStore {
        private final List<AuditRecord> records = new ArrayList<>();
        private PlatformException failure;

        @Override
        public Optional<ConfigurationRow> readRow() {
            return records.isEmpty() ? Optional.empty() : Optional.of(newestRow());
        }

        @Override
        public byte[] load(ContentDigest digest) {
            return TEXT;
        }

        @Override
        public ConfigurationRow accept(AuditRecord record, byte[] canonical)
                throws ConfigurationConflictException, PlatformException {
            if (failure != null) {
                throw failure;
            }
            if (record.from().value() != records.size()) {
                throw new ConfigurationConflictException(newestRow());
            }
            records.add(0, record);
            return newestRow();
        }

        @Override
        public ImmutableList<AuditRecord> history(int limit) {
            return records.stream().limit(limit).collect(ImmutableList.toImmutableList());
        }

        private ConfigurationRow newestRow() {
            AuditRecord newest = records.get(0);
            return new ConfigurationRow(
                    newest.version(), newest.digest(), newest.change(), newest.operator(), newest.when());
        }
    }
}
