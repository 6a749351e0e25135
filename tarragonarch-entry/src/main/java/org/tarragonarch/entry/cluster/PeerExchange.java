package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.cluster.PeerSender;
import org.tarragonarch.core.routing.CancelSource;
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
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.wire.CancelAnswered;
import org.tarragonarch.wire.CancelAsked;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.ConfigurationGiven;
import org.tarragonarch.wire.EndpointChangesAsked;
import org.tarragonarch.wire.EndpointChangesGiven;
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

/** Sends frames to peers and dispatches received frames to a {@link PeerFrameHandler}. */
final class PeerExchange implements PeerListener, PeerSender {
    /** The idle timeout exceeds the silence after which a peer is lost, so that a silent peer is detected first. */
    private static final PeerNetworkSettings NETWORK = new PeerNetworkSettings(
            Duration.ofMillis(400),
            Duration.ofMillis(PeerTable.DISTANT_SILENCE_MILLIS + 300),
            Duration.ofSeconds(60),
            Duration.ofMillis(50),
            Duration.ofMillis(400),
            4_096,
            8 * 1024 * 1024,
            1_024);

    private final PeerFrameHandler handler;
    private final Map<NodeId, Member> members = new HashMap<>();
    private final Map<NodeId, Incarnation> incarnations = new HashMap<>();
    /** The peers whose last frame but for answers was a list of open jobs, or a cancellation directly after one. */
    private final Set<NodeId> repeating = new HashSet<>();

    /** The peers that could not be reached and have sent nothing since; they may be gone for good. */
    private final Set<NodeId> unreachable = new HashSet<>();

    private PeerNetwork network;

    PeerExchange(PeerFrameHandler handler) {
        this.handler = handler;
    }

    /**
     * Starts to listen for peers.
     *
     * @param group a group of one thread, which runs all calls of the handler
     * @throws StepException if the address cannot be bound
     */
    void open(EventLoopGroup group, Address address, Hello own) throws StepException {
        network = PeerNetwork.startOn(group, address, own, this, NETWORK);
    }

    /** Records the address of a node from the store or from a peer, unless the node is already located. */
    void located(Member member) {
        members.putIfAbsent(member.node(), member);
    }

    /** Returns every other node whose address is known. */
    ImmutableList<Member> located() {
        return ImmutableList.copyOf(members.values());
    }

    /** Returns whether a peer has been heard from since it could not be reached last, if ever it could not. */
    boolean isReachable(NodeId peer) {
        return !unreachable.contains(peer);
    }

    /** Records that a peer cannot be reached; ends the wait for its answers. */
    void markUnreachable(NodeId peer) {
        unreachable.add(peer);
        handler.cancellations().unreachable(peer);
    }

    /** Returns every other node of these failure domains whose address is known. */
    ImmutableList<Member> locatedIn(ImmutableSet<FailureDomain> domains) {
        return members.values().stream()
                .filter(member -> domains.contains(member.domain()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Repeats the latest cancellations to a peer, as on a new connection. */
    void repeatCancellations(NodeId peer) {
        ImmutableList<Frame> frames = cancellationsAndOpenJobs(peer);
        if (frames.size() > 1) {
            frames.forEach(frame -> send(peer, frame));
        }
    }

    /**
     * Returns the list of open jobs, after the cancellations that this node's clients have asked for and before those
     * that peers have asked for, which the receiver takes for repetitions.
     */
    private ImmutableList<Frame> cancellationsAndOpenJobs(NodeId peer) {
        CancelFrameHandler cancellations = handler.cancellations();
        ImmutableList.Builder<Frame> frames = ImmutableList.builder();
        cancellations.toRepeat(CancelSource.CLIENT).stream()
                .map(CancelAsked::new)
                .forEach(frames::add);
        frames.add(new OpenJobs(handler.openJobsAt(peer)));
        cancellations.toRepeat(CancelSource.PEER).stream().map(CancelAsked::new).forEach(frames::add);
        return frames.build();
    }

    /** Closes all connections with an unreachable peer. */
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
    public void sendVerdict(NodeId to, JobVerdict verdict) {
        answer(to, new JobSettled(verdict));
    }

    @Override
    public void sendCancellation(NodeId to, JobId job) {
        answer(to, new CancelAsked(job));
    }

    /** Sends a frame to the incarnation of a node that sent the latest frame. */
    private void answer(NodeId node, Frame frame) {
        Optional.ofNullable(incarnations.get(node)).ifPresent(incarnation -> network.reply(node, incarnation, frame));
    }

    @Override
    public void received(NodeId peer, Incarnation incarnation, Frame frame) {
        recordIncarnation(peer, incarnation);
        unreachable.remove(peer);
        if (frame instanceof CancelAsked asked) {
            network.reply(peer, incarnation, new CancelAnswered(asked.job(), cancel(peer, asked.job())));
            return;
        }
        if (frame instanceof CancelAnswered answered) {
            handler.cancellations().cancelled(peer, answered.job(), answered.known());
            return;
        }
        repeating.remove(peer);
        if (frame instanceof StatusFrame status) {
            members.put(peer, status.status().member());
            handler.statusReceived(status.status());
        } else if (frame instanceof JobOffered offered) {
            handler.offerReceived(offered.offer());
        } else if (frame instanceof JobSettled settled) {
            handler.verdictReceived(peer, settled.verdict());
        } else if (frame instanceof JobWithdrawn withdrawn) {
            handler.withdrawalReceived(peer, withdrawn.job());
        } else if (frame instanceof OpenJobs open) {
            repeating.add(peer);
            handler.openJobsReceived(peer, open.jobs());
        } else if (frame instanceof ConfigurationAsked) {
            network.reply(peer, incarnation, configuration());
        } else if (frame instanceof ConfigurationGiven given) {
            given.canonicalText().ifPresent(text -> handler.configurationReceived(peer, text.bytes()));
        } else if (frame instanceof EndpointsAsked) {
            network.reply(
                    peer,
                    incarnation,
                    new EndpointsGiven(handler.endpointExchange().all()));
        } else if (frame instanceof EndpointsGiven given) {
            handler.endpointExchange().receivedAll(given.endpoints());
        } else if (frame instanceof EndpointChangesAsked asked) {
            network.reply(peer, incarnation, handler.endpointExchange().answer(asked));
        } else if (frame instanceof EndpointChangesGiven given) {
            handler.endpointExchange().received(peer, given);
        } else if (frame instanceof NodesAsked) {
            network.reply(peer, incarnation, new NodesGiven(located()));
        } else if (frame instanceof NodesGiven given) {
            handler.nodesReceived(given.nodes());
        }
    }

    private boolean cancel(NodeId peer, JobId job) {
        return handler.cancellations()
                .cancel(job, repeating.contains(peer) ? CancelSource.REPETITION : CancelSource.PEER);
    }

    /** Records the incarnation of a connected peer; the loss of an earlier one is reported first. */
    private void recordIncarnation(NodeId peer, Incarnation incarnation) {
        Incarnation before = incarnations.put(peer, incarnation);
        if (before != null && !before.equals(incarnation)) {
            handler.disconnected(peer);
        }
    }

    @Override
    public ImmutableList<Frame> firstFrames(NodeId peer, Incarnation incarnation) {
        recordIncarnation(peer, incarnation);
        ImmutableList.Builder<Frame> frames = ImmutableList.builder();
        frames.addAll(cancellationsAndOpenJobs(peer));
        handler.offersToSendAgain(peer).stream().map(JobOffered::new).forEach(frames::add);
        return frames.build();
    }

    @Override
    public boolean interrupted(NodeId peer, Incarnation incarnation) {
        return incarnation.equals(incarnations.get(peer)) && handler.connectionLost(peer);
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        if (frame instanceof JobOffered offered) {
            handler.offerUndelivered(peer, offered.offer().job().id());
        } else if (frame instanceof CancelAsked) {
            markUnreachable(peer);
        }
    }

    @Override
    public void disconnected(NodeId peer, Incarnation incarnation) {
        if (incarnation.equals(incarnations.get(peer))) {
            markUnreachable(peer);
            handler.disconnected(peer);
        }
    }

    private ConfigurationGiven configuration() {
        byte[] text = handler.configurationText();
        ConfigurationVersion version = ConfigurationVersion.of(handler.configurationVersion());
        if (text.length == 0) {
            return ConfigurationGiven.unavailable(version);
        }
        return ConfigurationGiven.of(version, ContentDigest.of(text), Payload.of(text));
    }
}
