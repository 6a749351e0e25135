package org.tarragonarch.ctl.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.admin.PeerView;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.testng.annotations.Test;

public final class RolloutTest {
    private static final ConfigurationVersion NEW = ConfigurationVersion.of(7);
    private static final ConfigurationVersion OLD = ConfigurationVersion.of(6);

    @Test
    public void testOf_includesPeersOfAskedNode() {
        Rollout rollout = rollout(node("hobart-1", NEW, peer("hobart-2", true, NEW), peer("devonport-1", true, NEW)));
        assertTrue(rollout.isComplete());
        assertEquals(rollout.progress(), "devonport 1/1, hobart 2/2");
    }

    /** Guards against a rollout that waits for a node that reports the version, because a peer has an older report. */
    @Test
    public void testOf_ownStatusOverridesPeers() {
        assertTrue(rollout(node("hobart-1", NEW, peer("hobart-2", true, OLD)), node("hobart-2", NEW))
                .isComplete());
    }

    /** Guards against an unreachable domain that is reported as outdated or as complete. */
    @Test
    public void testOf_unreachableDomain() {
        Rollout rollout = rollout(node("hobart-1", NEW, peer("devonport-1", false, OLD)));
        assertFalse(rollout.isComplete());
        DomainRollout devonport = rollout.domains().get(0);
        assertEquals(devonport.state(), RolloutState.CANNOT_BE_REACHED);
        assertEquals(devonport.describeMissing(), "cannot reach devonport-1");
        assertEquals(rollout.domains().get(1).state(), RolloutState.IN_FORCE);
    }

    @Test
    public void testOf_reachableFromOnePeer() {
        Rollout rollout = rollout(
                node("hobart-1", NEW, peer("devonport-1", false, OLD)),
                node("hobart-2", NEW, peer("devonport-1", true, OLD)));
        assertEquals(rollout.domains().get(0).state(), RolloutState.NOT_YET);
        assertEquals(rollout.domains().get(0).describeMissing(), "an older version on devonport-1");
    }

    @Test
    public void testOf_newerVersionCountsAsInForce() {
        assertTrue(rollout(node("hobart-1", NEW.next())).isComplete());
    }

    @Test
    public void testOf_noAnswers() {
        assertFalse(Rollout.of(NEW, List.of()).isComplete());
    }

    /** Guards against a change reported as in force everywhere while a node did not answer. */
    @Test
    public void testIsComplete_unansweredAddress() {
        Address launceston = new Address("127.0.0.1", 2);
        AdminException refused = AdminException.unreadable(launceston, "no configuration yet");
        Rollout rollout = Rollout.of(
                NEW,
                List.of(
                        new AdminResult<>(
                                new Address("127.0.0.1", 1), Optional.of(node("hobart-1", NEW)), Optional.empty()),
                        new AdminResult<>(launceston, Optional.empty(), Optional.of(refused))));
        assertFalse(rollout.isComplete());
        assertEquals(rollout.progress(), "hobart 1/1, no answer from 1 address(es)");
    }

    private static Rollout rollout(NodeView... views) {
        return Rollout.of(
                NEW,
                ImmutableList.copyOf(views).stream()
                        .map(view ->
                                new AdminResult<>(new Address("127.0.0.1", 1), Optional.of(view), Optional.empty()))
                        .toList());
    }

    private static NodeView node(String name, ConfigurationVersion version, PeerView... peers) {
        return new NodeView(
                name,
                domain(name),
                "serving",
                version,
                0,
                ImmutableList.of(),
                ImmutableList.copyOf(peers),
                ImmutableList.of(),
                ImmutableList.of());
    }

    private static PeerView peer(String name, boolean alive, ConfigurationVersion version) {
        return new PeerView(name, domain(name), alive, "serving", version);
    }

    private static String domain(String node) {
        return node.substring(0, node.indexOf('-'));
    }
}
