package org.tarragonarch.core.node;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.configuration.ConfigurationKeeper;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.membership.PeerDirectory;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.model.report.NodePhase;

/**
 * The decisions of one entry node: a deterministic state machine with one entry point.
 *
 * <p>Holds no clock, thread, lock or input and output of its own: time, seed and identity are handed in, so the same
 * events at the same times always give the same actions. Not safe for use by several threads.
 */
public final class EntryNode {
    private final NodeIdentity identity;
    private final ConfigurationKeeper configuration;
    private final EndpointDirectory endpoints;
    private final PeerDirectory peers;

    private EntryNode(NodeIdentity identity, NodePolicy policy, long seed) {
        this.identity = identity;
        this.configuration = ConfigurationKeeper.create(policy);
        this.endpoints = EndpointDirectory.create(identity.node(), identity.domain(), new Random(seed));
        this.peers = PeerDirectory.create(identity, policy);
    }

    /**
     * Returns a node that has just started.
     *
     * @param identity who the node is
     * @param policy the times and bounds it works by
     * @param seed the seed of its random choices
     */
    public static EntryNode create(NodeIdentity identity, NodePolicy policy, long seed) {
        return new EntryNode(identity, policy, seed);
    }

    /**
     * Decides upon one event.
     *
     * <p>The shell hands in {@code TimePassed} once at start and then whenever a {@code WakeAt} falls due.
     *
     * @param nowNanos the time on a clock that never runs backwards, in nanoseconds
     * @param event what happened
     * @param sink takes the actions, in order
     */
    public void handle(long nowNanos, Event event, ActionSink sink) {}

    /** Returns a snapshot for the administration API; costs time in proportion to what it shows. */
    public NodeStatus status() {
        return new NodeStatus(
                identity.node(),
                identity.incarnation(),
                identity.domain(),
                NodePhase.STARTING,
                configuration.version(),
                0,
                endpoints.status(),
                peers.status(),
                ImmutableList.of(),
                ImmutableList.of());
    }
}
