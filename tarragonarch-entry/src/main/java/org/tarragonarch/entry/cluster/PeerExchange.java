package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.cluster.PeerSender;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeLocation;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;
import org.tarragonarch.wire.CancelAnswered;
import org.tarragonarch.wire.CancelAsked;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.ConfigurationGiven;
import org.tarragonarch.wire.EndpointsAsked;
import org.tarragonarch.wire.EndpointsGiven;
import org.tarragonarch.wire.Frame;
import org.tarragonarch.wire.JobOffered;
import org.tarragonarch.wire.JobSettled;
import org.tarragonarch.wire.JobWithdrawn;
import org.tarragonarch.wire.NodesAsked;
import org.tarragonarch.wire.NodesGiven;
import org.tarragonarch.wire.Payload;
import org.tarragonarch.wire.PeerListener;
import org.tarragonarch.wire.PeerNetwork;
import org.tarragonarch.wire.StatusFrame;

/** Frames to and from the peers; turns each that comes into a call of the node. */
final class PeerExchange implements PeerListener, PeerSender {
    private final PeerCalls calls;
    private final Map<NodeId, Address> addresses = new HashMap<>();
    private final Map<NodeId, Incarnation> runs = new HashMap<>();
    private PeerNetwork network;

    PeerExchange(PeerCalls calls) {
        this.calls = calls;
    }

    void use(PeerNetwork started) {
        network = started;
    }

    /** Learns where a node is said to be, from the store. */
    void located(NodeId node, Address address) {
        addresses.putIfAbsent(node, address);
    }

    /** Sends to every node that was ever heard or located; what cannot be delivered is dropped. */
    private void sendToAll(Frame frame) {
        addresses.forEach((node, address) -> network.send(node, address, frame));
    }

    /** Returns every other node that is known of. */
    ImmutableSet<NodeId> located() {
        return ImmutableSet.copyOf(addresses.keySet());
    }

    /** Closes what connections there are with a peer that cannot be heard. */
    void disconnect(NodeId node, String reason) {
        network.disconnect(node, reason);
    }

    void send(NodeId node, Frame frame) {
        Address address = addresses.get(node);
        if (address == null) {
            undelivered(node, frame);
            return;
        }
        network.send(node, address, frame);
    }

    @Override
    public void status(NodeId to, NodeStatus status) {
        send(to, new StatusFrame(status));
    }

    @Override
    public void statusToAll(NodeStatus status) {
        sendToAll(new StatusFrame(status));
    }

    @Override
    public void offer(NodeId to, Offer offer) {
        send(to, new JobOffered(offer));
    }

    @Override
    public void withdraw(NodeId to, JobId job) {
        send(to, new JobWithdrawn(job));
    }

    @Override
    public void settled(NodeId to, JobId job, Verdict verdict, long retryMillis) {
        answer(to, new JobSettled(job, verdict, retryMillis));
    }

    /** Answers the run of a node that was heard last. */
    private void answer(NodeId node, Frame frame) {
        Optional.ofNullable(runs.get(node)).ifPresent(run -> network.reply(node, run, frame));
    }

    @Override
    public void received(NodeId peer, Incarnation run, Frame frame) {
        runs.put(peer, run);
        if (frame instanceof StatusFrame status) {
            addresses.put(peer, status.status().address());
            calls.status(status.status());
        } else if (frame instanceof JobOffered offered) {
            calls.offered(offered.offer());
        } else if (frame instanceof JobSettled settled) {
            calls.verdictCame(peer, settled.job(), settled.verdict(), settled.retryMillis());
        } else if (frame instanceof JobWithdrawn withdrawn) {
            calls.withdrawn(peer, withdrawn.job());
        } else if (frame instanceof CancelAsked asked) {
            network.reply(peer, run, new CancelAnswered(asked.job(), calls.cancelled(asked.job())));
        } else if (frame instanceof CancelAnswered answered) {
            calls.cancelAnswered(answered.job(), answered.known());
        } else if (frame instanceof ConfigurationAsked) {
            network.reply(peer, run, configuration());
        } else if (frame instanceof ConfigurationGiven given) {
            given.canonicalText().ifPresent(text -> calls.configurationGiven(peer, text.bytes()));
        } else if (frame instanceof EndpointsAsked) {
            network.reply(peer, run, new EndpointsGiven(calls.endpoints()));
        } else if (frame instanceof EndpointsGiven given) {
            calls.endpointsGiven(given.endpoints());
        } else if (frame instanceof NodesAsked) {
            network.reply(peer, run, new NodesGiven(locations()));
        } else if (frame instanceof NodesGiven given) {
            calls.nodesGiven(given.nodes());
        }
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        if (frame instanceof JobOffered offered) {
            calls.notOffered(peer, offered.offer().job().id());
        }
    }

    @Override
    public void disconnected(NodeId peer, Incarnation run) {
        if (run.equals(runs.get(peer))) {
            calls.disconnected(peer);
        }
    }

    private ImmutableList<NodeLocation> locations() {
        return addresses.entrySet().stream()
                .map(known -> new NodeLocation(known.getKey(), known.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    private ConfigurationGiven configuration() {
        byte[] text = calls.configurationText();
        ConfigurationVersion version = ConfigurationVersion.of(calls.configurationVersion());
        if (text.length == 0) {
            return ConfigurationGiven.none(version);
        }
        return ConfigurationGiven.of(version, ContentDigest.of(text), Payload.of(text));
    }
}
