package org.tarragonarch.standin.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.Claim;
import org.tarragonarch.platform.ClaimStore;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.platform.PlatformException;
import org.tarragonarch.standin.StandInControl;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ClaimStoreTest {
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private StandInPlatform platform;
    private StandInControl control;
    private PlatformClient client;
    private ClaimStore claims;

    @BeforeMethod
    public void start() {
        platform = StandInPlatform.start("127.0.0.1", 0);
        control = StandInControl.of(platform.address());
        client = PlatformClient.create(platform.address(), "hobart-1", TIMEOUT);
        claims = client.claimStore();
    }

    @AfterMethod
    public void stop() {
        client.close();
        platform.close();
    }

    @Test
    public void testInsertIfAbsent_takenKeyDoesNotBlockOthers() throws Exception {
        Claim first = claim("upload/7?x=%2F", "token-1");
        claims.insertIfAbsent(List.of(first));

        Claim late = claim(first.key().key().value(), "token-2");
        Claim other = claim("upload-8", "token-3");
        ImmutableMap<ClaimKey, Claim> standing = claims.insertIfAbsent(List.of(late, other));

        assertEquals(standing.get(late.key()), first);
        assertEquals(standing.get(other.key()), other);
        assertEquals(
                claims.read(ImmutableList.of(late.key(), claim("none", "t").key())),
                ImmutableMap.of(late.key(), first));
    }

    @Test
    public void testInsertIfAbsent_replyLost() throws Exception {
        // The platform inserts the claim, but the connection breaks before the reply arrives. Guards against reporting
        // the write as not applied, so that the node would answer "not run" for a key that stays taken.
        control.switchOnFault("reply-lost?part=tables&count=1");
        Claim claim = claim("upload-1", "token-1");

        PlatformException lost = expectThrows(PlatformException.class, () -> claims.insertIfAbsent(List.of(claim)));

        assertTrue(lost.mayHaveApplied());
        assertEquals(claims.read(ImmutableList.of(claim.key())), ImmutableMap.of(claim.key(), claim));
    }

    @Test
    public void testInsertIfAbsent_cutSilentOrSlowMayHaveApplied() throws Exception {
        for (String fault : List.of("cut", "silent", "slow?ms=600")) {
            control.switchOnFault(fault + (fault.contains("?") ? "&" : "?") + "part=tables&count=1");
            Claim claim = claim("key-" + fault.substring(0, 3), "token-1");

            PlatformException lost = expectThrows(PlatformException.class, () -> claims.insertIfAbsent(List.of(claim)));

            assertTrue(lost.mayHaveApplied(), fault);
            assertEquals(lost.peer(), "table service");
        }
    }

    @Test
    public void testInsertIfAbsent_outageHasNotApplied() throws Exception {
        control.switchOnFault("out?part=tables");
        Claim claim = claim("upload-1", "token-1");

        PlatformException out = expectThrows(PlatformException.class, () -> claims.insertIfAbsent(List.of(claim)));

        assertFalse(out.mayHaveApplied());
        assertTrue(client.vmList().list().isEmpty(), "the VM list is available while tables are out");
        control.clearFaults();
        assertTrue(claims.read(ImmutableList.of(claim.key())).isEmpty());
    }

    @Test
    public void testInsertIfAbsent_refusedConnectionHasNotApplied() throws Exception {
        int unused;
        try (ServerSocket socket = new ServerSocket(0)) {
            unused = socket.getLocalPort();
        }
        try (PlatformClient unconnected = PlatformClient.create(new Address("127.0.0.1", unused), TIMEOUT)) {
            PlatformException refused = expectThrows(
                    PlatformException.class,
                    () -> unconnected.claimStore().insertIfAbsent(List.of(claim("key", "token"))));

            assertFalse(refused.mayHaveApplied());
        }
    }

    @Test
    public void testRead_lostReplyNeverCountsAsWrite() throws Exception {
        control.switchOnFault("cut?part=tables&count=1");

        PlatformException lost = expectThrows(
                PlatformException.class,
                () -> claims.read(ImmutableList.of(claim("key", "token").key())));

        assertFalse(lost.mayHaveApplied());
    }

    @Test
    public void testFaults_affectOneDomainOnly() throws Exception {
        control.switchOnFault("out?client=hobart-*");
        assertFalse(expectThrows(PlatformException.class, () -> client.vmList().list())
                .mayHaveApplied());

        try (PlatformClient other = PlatformClient.create(platform.address(), "devonport-1", TIMEOUT)) {
            assertTrue(other.vmList().list().isEmpty());
        }
    }

    @Test
    public void testRelease_onlyOwnClaim() throws Exception {
        Claim mine = claim("upload-1", "token-1");
        claims.insertIfAbsent(List.of(mine));

        claims.release(claim("upload-1", "token-2"));
        assertEquals(claims.read(ImmutableList.of(mine.key())).get(mine.key()), mine);

        claims.release(mine);
        assertTrue(claims.read(ImmutableList.of(mine.key())).isEmpty());
    }

    @Test
    public void testSweep_deletesOldClaimsOnly() throws Exception {
        claims.insertIfAbsent(List.of(claim("upload-1", "token-1"), claim("upload-2", "token-2")));

        assertEquals(claims.sweep(Duration.ofMinutes(1)), 0);
        assertEquals(claims.sweep(Duration.ofMillis(-1)), 2);
    }

    private static Claim claim(String key, String token) {
        return new Claim(
                new ClaimKey(ServiceName.of("proof-board"), CallerName.of("upload-page"), new IdempotencyKey(key)),
                new ClaimToken(token),
                NodeId.of("hobart-1"),
                Incarnation.of(17),
                ContentDigest.of(key.getBytes(StandardCharsets.UTF_8)));
    }
}
