package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.wire.CancelAsked;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.EndpointsAsked;
import org.tarragonarch.wire.NodesAsked;

/** Asks peers, and the store, to keep cancellations, and peers for what this node lacks. */
final class PeerRequests implements CancelRequests {
    private final PeerExchange exchange;
    private final ConfigurationInForce configuration;
    private final EndpointList endpoints;
    private final PeerDiscovery discovery;
    private final CancellationRows cancellations;

    PeerRequests(
            PeerExchange exchange,
            ConfigurationInForce configuration,
            EndpointList endpoints,
            PeerDiscovery discovery,
            CancellationRows cancellations) {
        this.exchange = exchange;
        this.configuration = configuration;
        this.endpoints = endpoints;
        this.discovery = discovery;
        this.cancellations = cancellations;
    }

    @Override
    public ImmutableSet<NodeId> askAllToCancel(JobId job) {
        ImmutableList<Member> located = exchange.located();
        located.forEach(peer -> exchange.send(peer.node(), new CancelAsked(job)));
        return located.stream().map(Member::node).filter(exchange::isReachable).collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public void store(JobId job, Runnable stored) {
        cancellations.add(job, stored);
    }

    @Override
    public void askAgainToCancel(NodeId peer, JobId job) {
        exchange.markUnreachable(peer);
        exchange.disconnect(peer, "no answer to a cancellation");
        exchange.send(peer, new CancelAsked(job));
    }

    /** Asks the sender of a status; for endpoints and nodes only if it has just become reachable. */
    void askSender(NodeStatus status, boolean joined) {
        if (status.configurationVersion() > configuration.version()) {
            ConfigurationVersion wanted = ConfigurationVersion.of(status.configurationVersion());
            exchange.send(status.node(), new ConfigurationAsked(wanted));
        }
        if (endpoints.isEmpty() && joined) {
            exchange.send(status.node(), new EndpointsAsked());
        }
        if (!discovery.isDirectoryComplete() && joined) {
            exchange.send(status.node(), new NodesAsked());
        }
    }
}
