package org.tarragonarch.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.service.ServiceCatalog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConfigurationReplicaTest {
    private static final NodeId PEER = NodeId.of("hobart-2");
    private static final NodeId OTHER_PEER = NodeId.of("hobart-3");

    private ConfigurationReplica replica;
    private List<Action> actions;

    @BeforeMethod
    public void createReplica() {
        replica = ConfigurationReplica.create(NodePolicy.DEFAULT);
        actions = new ArrayList<>();
    }

    @Test
    public void testTimePassed_readsTheRowAtTheInterval() {
        run(0, 10_000);
        assertEquals(take(ReadConfigurationRow.class).size(), 6);
    }

    @Test
    public void testRowRead_newerVersionIsLoadedFromStore() {
        rowRead(0, 3);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromStore(3)));
        assertTrue(loaded(10, 3, "store"));
        assertEquals(replica.version(), version(3));
        assertEquals(take(ConfigurationInForce.class).size(), 1);
    }

    /** Guards against a stale read of the table service that reverts an operator's change. */
    @Test
    public void testRowRead_staleRowIsRefusedAndNoted() {
        adopt(5);
        rowRead(2_000, 4);
        replica.rowRead(Optional.empty(), millis(4_000), actions::add);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of());
        assertEquals(notes(NoteEvent.OLD_CONFIGURATION_REFUSED), 2);
        assertEquals(replica.version(), version(5));
    }

    /** Guards against a slow load of an old version that replaces a newer one loaded from a peer meanwhile. */
    @Test
    public void testLoaded_lateOldVersionIsRefused() {
        rowRead(0, 4);
        run(0, 2_100);
        replica.rowFailed(millis(2_110), actions::add);
        reportPeerVersion(2_200, PEER, 5);
        assertTrue(loaded(2_300, 5, "hobart-2"));
        assertFalse(loaded(2_400, 4, "store"));
        assertEquals(replica.version(), version(5));
        assertEquals(notes(NoteEvent.OLD_CONFIGURATION_REFUSED), 1);
    }

    /** Guards against a peer whose configuration has another digest than the row of its version. */
    @Test
    public void testLoaded_digestDiffersFromRow() {
        rowRead(0, 4);
        take(LoadConfiguration.class);
        reportPeerVersion(10, PEER, 4);
        replica.loadFailed(new ConfigurationLoadFailed(version(4), "store", "out"), millis(20), actions::add);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromPeer(PEER, 4, Optional.of(digest(4)))));
        ServiceCatalog wrong = catalog(4, digest(99));
        assertFalse(replica.loaded(new ConfigurationLoaded(wrong, "hobart-2"), millis(30), actions::add));
        assertEquals(replica.version(), ConfigurationVersion.NONE);
        run(40, 300);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromStore(4)));
    }

    /** Guards against nodes that wait for their next row read although a peer already has a newer version. */
    @Test
    public void testPeerVersionReported_newerVersionTriggersRowRead() {
        adopt(3);
        rowRead(100, 3);
        take(Action.class);
        reportPeerVersion(200, PEER, 4);
        assertEquals(take(ReadConfigurationRow.class).size(), 1);
        reportPeerVersion(210, OTHER_PEER, 4);
        assertEquals(take(ReadConfigurationRow.class).size(), 0);
        rowRead(220, 4);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromStore(4)));
    }

    /** Guards against a node that misses changes in an outage of the store which other domains do not have. */
    @Test
    public void testPeerVersionReported_peerIsAskedWhileStoreFails() {
        adopt(3);
        replica.rowFailed(millis(100), actions::add);
        reportPeerVersion(200, PEER, 4);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromPeer(PEER, 4, Optional.empty())));
        assertTrue(loaded(210, 4, "hobart-2"));
    }

    @Test
    public void testPeerVersionReported_peerIsAskedWhenRowIsStale() {
        adopt(3);
        reportPeerVersion(200, PEER, 4);
        rowRead(210, 3);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromPeer(PEER, 4, Optional.empty())));
    }

    /** Guards against a hanging store: the wait ends after 500 ms, not after the timeout of the store client. */
    @Test
    public void testPeerVersionReported_peerIsAskedWhenRowReadTimesOut() {
        adopt(3);
        reportPeerVersion(200, PEER, 4);
        run(200, 690);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of());
        run(700, 700);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromPeer(PEER, 4, Optional.empty())));
    }

    @Test
    public void testLoadFailed_nextSourceIsTriedAndStoreRetriedLater() {
        rowRead(0, 4);
        reportPeerVersion(0, PEER, 4);
        reportPeerVersion(0, OTHER_PEER, 4);
        failAll(0, 3);
        assertEquals(
                take(LoadConfiguration.class),
                ImmutableList.of(
                        fromStore(4),
                        fromPeer(PEER, 4, Optional.of(digest(4))),
                        fromPeer(OTHER_PEER, 4, Optional.of(digest(4)))));
        run(10, 240);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of());
        run(250, 250);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromStore(4)));
    }

    /** Guards against a flood of requests while store and peers fail for ten minutes. */
    @Test
    public void testTimePassed_outageCausesFewMessages() {
        adopt(3);
        rowRead(0, 4);
        reportPeerVersion(0, PEER, 4);
        for (int second = 0; second < 600; second++) {
            run(second * 1_000, second * 1_000 + 990);
            replica.loadFailed(
                    new ConfigurationLoadFailed(version(4), "any", "out"), millis(second * 1_000 + 995), actions::add);
        }
        int loads = take(LoadConfiguration.class).size();
        assertTrue(loads < 400, loads + " loads in ten minutes");
        assertTrue(loads > 200, loads + " loads in ten minutes: retries stopped");
        assertEquals(replica.version(), version(3));
    }

    @Test
    public void testTimePassed_loadTimesOut() {
        rowRead(0, 4);
        reportPeerVersion(0, PEER, 4);
        take(LoadConfiguration.class);
        run(10, 1_990);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of());
        run(2_000, 2_000);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromPeer(PEER, 4, Optional.of(digest(4)))));
    }

    /** Guards against a made-up configuration at a node that starts without store and peers. */
    @Test
    public void testInForce_emptyWithoutStoreAndPeers() {
        for (int poll = 0; poll < 30; poll++) {
            run(poll * 2_000, poll * 2_000 + 1_990);
            replica.rowFailed(millis(poll * 2_000 + 1_995), actions::add);
        }
        assertEquals(replica.inForce(), Optional.empty());
        assertEquals(replica.version(), ConfigurationVersion.NONE);
        assertEquals(take(LoadConfiguration.class), ImmutableList.of());
    }

    @Test
    public void testInForce_keptWithoutStoreAndPeers() {
        adopt(7);
        for (int poll = 1; poll < 30; poll++) {
            run(poll * 2_000, poll * 2_000 + 1_990);
            replica.rowFailed(millis(poll * 2_000 + 1_995), actions::add);
        }
        assertEquals(replica.version(), version(7));
    }

    /** Guards against a version that is ignored because it was read while an earlier one was being loaded. */
    @Test
    public void testRowRead_versionSeenDuringLoadIsLoadedNext() {
        rowRead(0, 4);
        rowRead(5, 5);
        assertTrue(loaded(10, 4, "store"));
        assertEquals(take(LoadConfiguration.class), ImmutableList.of(fromStore(4), fromStore(5)));
        assertTrue(loaded(20, 5, "store"));
    }

    private void adopt(long number) {
        rowRead(0, number);
        loaded(0, number, "store");
        actions.clear();
    }

    private void failAll(long millis, int times) {
        for (int i = 0; i < times; i++) {
            replica.loadFailed(new ConfigurationLoadFailed(version(4), "any", "out"), millis(millis), actions::add);
        }
    }

    private void rowRead(long millis, long number) {
        ConfigurationRow row = new ConfigurationRow(
                version(number),
                digest(number),
                new ChangeId("change-" + number),
                OperatorName.of("ann"),
                Instant.ofEpochSecond(number));
        replica.rowRead(Optional.of(row), millis(millis), actions::add);
    }

    private void reportPeerVersion(long millis, NodeId peer, long number) {
        replica.peerVersionReported(peer, version(number), millis(millis), actions::add);
    }

    private boolean loaded(long millis, long number, String source) {
        ConfigurationLoaded event = new ConfigurationLoaded(catalog(number, digest(number)), source);
        return replica.loaded(event, millis(millis), actions::add);
    }

    private void run(long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += 10) {
            if (millis(now) >= replica.nextWakeNanos()) {
                replica.timePassed(millis(now), actions::add);
            }
        }
    }

    private <T extends Action> ImmutableList<T> take(Class<T> type) {
        ImmutableList<T> taken =
                actions.stream().filter(type::isInstance).map(type::cast).collect(ImmutableList.toImmutableList());
        actions.removeAll(taken);
        return taken;
    }

    private long notes(NoteEvent event) {
        return actions.stream()
                .filter(action -> action instanceof Note note && note.event() == event)
                .count();
    }

    private static LoadConfiguration fromStore(long number) {
        return new LoadConfiguration(version(number), Optional.of(digest(number)), Optional.empty());
    }

    private static LoadConfiguration fromPeer(NodeId peer, long number, Optional<ContentDigest> digest) {
        return new LoadConfiguration(version(number), digest, Optional.of(peer));
    }

    private static ServiceCatalog catalog(long number, ContentDigest digest) {
        return new ServiceCatalog(
                version(number),
                digest,
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableSet.of());
    }

    private static ContentDigest digest(long number) {
        return ContentDigest.of(Long.toString(number).getBytes(StandardCharsets.UTF_8));
    }

    private static ConfigurationVersion version(long number) {
        return ConfigurationVersion.of(number);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
