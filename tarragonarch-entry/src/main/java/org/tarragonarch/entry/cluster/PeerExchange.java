package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.cluster.PeerSender;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.Member;
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
import org.tarragonarch.wire.Hello;
import org.tarragonarch.wire.JobOffered;
import org.tarragonarch.wire.JobSettled;
import org.tarragonarch.wire.JobWithdrawn;
import org.tarragonarch.wire.NodesAsked;
import org.tarragonarch.wire.NodesGiven;
import org.tarragonarch.wire.OpenJobs;
import org.tarragonarch.wire.Payload;
import org.tarragonarch.wire.PeerListener;
import org.tarragonarch.wire.PeerNetwork;
import org.tarragonarch.wire.PeerNetworkSettings;
import org.tarragonarch.wire.StatusFrame;

/** Frames to and from the peers; turns each that comes into a call of the node. */
final class PeerExchange implements PeerListener, PeerSender {
    /** Connections between nodes: a peer that is silent is missed, and its connections closed, before their timeout. */
    private static final PeerNetworkSettings NETWORK = new PeerNetworkSettings(
            Duration.ofMillis(400),
            Duration.ofMillis(PeerTable.DISTANT_SILENCE_MILLIS + 300),
            Duration.ofSeconds(60),
            Duration.ofMillis(50),
            Duration.ofMillis(400),
            4_096,
            8 * 1024 * 1024,
            1_024);

    private final PeerCalls calls;
    private final Map<NodeId, Member> members = new HashMap<>();
    private final Map<NodeId, Incarnation> runs = new HashMap<>();
    private PeerNetwork network;

    PeerExchange(PeerCalls calls) {
        this.calls = calls;
    }

    /**
     * Begins to listen for peers.
     *
     * @param group a group of one thread, on which every call is made
     * @throws StepException if the address cannot be listened at
     */
    void open(EventLoopGroup group, Address address, Hello own) throws StepException {
        network = PeerNetwork.startOn(group, address, own, this, NETWORK);
    }

    /** Learns where a node is said to be, from the store. */
    void located(Member member) {
        members.putIfAbsent(member.node(), member);
    }

    /** Returns every other node that is known of. */
    ImmutableList<Member> located() {
        return ImmutableList.copyOf(members.values());
    }

    /** Returns every other node of these failure domains that is known of. */
    ImmutableList<Member> locatedIn(ImmutableSet<FailureDomain> domains) {
        return members.values().stream()
                .filter(member -> domains.contains(member.domain()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Closes what connections there are with a peer that is not reachable. */
    void disconnect(NodeId node, String reason) {
        network.disconnect(node, reason);
    }

    void send(NodeId node, Frame frame) {
        Member member = members.get(node);
        if (member == null) {
            undelivered(node, frame);
            return;
        }
        network.send(node, member.address(), frame);
    }

    @Override
    public void sendStatus(NodeId to, NodeStatus status) {
        send(to, new StatusFrame(status));
    }

    @Override
    public void sendStatusToAll(NodeStatus status) {
        network.sendToAll(members.values(), new StatusFrame(status));
    }

    @Override
    public void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status) {
        network.sendToAll(locatedIn(domains), new StatusFrame(status));
    }

    @Override
    public void sendOffer(NodeId to, Offer offer) {
        send(to, new JobOffered(offer));
    }

    @Override
    public void sendWithdrawal(NodeId to, JobId job) {
        send(to, new JobWithdrawn(job));
    }

    @Override
    public void sendVerdict(NodeId to, JobId job, Verdict verdict, long retryMillis) {
        answer(to, new JobSettled(job, verdict, retryMillis));
    }

    /** Answers the run of a node that spoke last. */
    private void answer(NodeId node, Frame frame) {
        Optional.ofNullable(runs.get(node)).ifPresent(run -> network.reply(node, run, frame));
    }

    @Override
    public void received(NodeId peer, Incarnation run, Frame frame) {
        runs.put(peer, run);
        if (frame instanceof StatusFrame status) {
            members.put(peer, status.status().member());
            calls.status(status.status());
        } else if (frame instanceof JobOffered offered) {
            calls.offered(offered.offer());
        } else if (frame instanceof JobSettled settled) {
            calls.verdictCame(peer, settled.job(), settled.verdict(), settled.retryMillis());
        } else if (frame instanceof JobWithdrawn withdrawn) {
            calls.withdrawn(peer, withdrawn.job());
        } else if (frame instanceof OpenJobs open) {
            calls.openJobs(peer, open.jobs());
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
            network.reply(peer, run, new NodesGiven(located()));
        } else if (frame instanceof NodesGiven given) {
            calls.nodesGiven(given.nodes());
        }
    }

    @Override
    public Optional<Frame> firstFrame(NodeId peer) {
        return Optional.of(new OpenJobs(calls.openJobsAt(peer)));
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        if (frame instanceof JobOffered offered) {
            calls.offerNotSent(peer, offered.offer().job().id());
        }
    }

    @Override
    public void disconnected(NodeId peer, Incarnation run) {
        if (run.equals(runs.get(peer))) {
            calls.disconnected(peer);
        }
    }

    private ConfigurationGiven configuration() {
        byte[] text = calls.configurationText();
        ConfigurationVersion version = ConfigurationVersion.of(calls.configurationVersion());
        if (text.length == 0) {
            return ConfigurationGiven.unavailable(version);
        }
        return ConfigurationGiven.of(version, ContentDigest.of(text), Payload.of(text));
    }
}
