package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.tarragonarch.wire.CancelAnswered;
import org.tarragonarch.wire.CancelAsked;
import org.tarragonarch.wire.Frame;
import org.tarragonarch.wire.Hello;
import org.tarragonarch.wire.JobOffered;
import org.tarragonarch.wire.JobSettled;
import org.tarragonarch.wire.JobWithdrawn;
import org.tarragonarch.wire.OpenJobs;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The call that each received frame causes. */
public final class PeerExchangeTest {
    private static final NodeId PEER = NodeId.of("peer");
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final JobId CANCELLED = new JobId("00000000000000bb");
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final JobRequest REQUEST = new JobRequest(JOB, "x", new TaskStep(1, new Resources(1, 1, 0), 60));
    private static final Offer OFFER = new Offer(REQUEST, QUEUE, NodeId.of("own"), 0, 1_500, EarlierRuns.NONE);

    private final List<String> calls = new ArrayList<>();
    private PeerExchange exchange;

    private ImmutableSetMultimap<CancelSource, JobId> toRepeat = ImmutableSetMultimap.of();

    @BeforeMethod
    public void createExchange() {
        calls.clear();
        exchange = new PeerExchange(new RecordingHandler());
        toRepeat = ImmutableSetMultimap.of();
    }

    /** Guards against a verdict that is sent back to its holder, so that the two nodes exchange it endlessly. */
    @Test
    public void testReceived_verdict() {
        exchange.received(
                PEER, Incarnation.of(1), new JobSettled(new JobVerdict(JOB, OfferNumber.of(1), Verdict.DONE, 0)));
        assertEquals(calls, ImmutableList.of("verdict of peer DONE"));
    }

    @Test
    public void testReceived_withdrawal() {
        exchange.received(PEER, Incarnation.of(1), new JobWithdrawn(JOB));
        assertEquals(calls, ImmutableList.of("withdrawn by peer"));
    }

    /** Guards against a holder that does not learn which of a peer's jobs are open. */
    @Test
    public void testReceived_openJobs() {
        exchange.received(PEER, Incarnation.of(1), new OpenJobs(ImmutableSet.of(JOB)));
        assertEquals(calls, ImmutableList.of("open at peer [" + JOB + "]"));
    }

    /**
     * Guards against a connection on which a holder receives offers before the list of open jobs, and against offers
     * that stay lost with the connection before.
     */
    @Test
    public void testFirstFrames_openJobsThenOffers() {
        assertEquals(
                exchange.firstFrames(PEER, Incarnation.of(1)),
                ImmutableList.of(new OpenJobs(ImmutableSet.of(JOB)), new JobOffered(OFFER)));
    }

    /** Guards against a peer that was down or cut off and runs a job that was cancelled meanwhile. */
    @Test
    public void testFirstFrames_cancellationsAreRepeatedBeforeOffers() {
        JobId own = new JobId("00000000000000cc");
        toRepeat = ImmutableSetMultimap.of(
                CancelSource.PEER, CANCELLED, CancelSource.CLIENT, own, CancelSource.REPETITION, JOB);
        assertEquals(
                exchange.firstFrames(PEER, Incarnation.of(1)),
                ImmutableList.of(
                        new CancelAsked(own),
                        new OpenJobs(ImmutableSet.of(JOB)),
                        new CancelAsked(CANCELLED),
                        new JobOffered(OFFER)));
    }

    /** Guards against a cancellation that is repeated from node to node for ever, or a new one that is not repeated. */
    @Test
    public void testReceived_cancellationsAfterOpenJobsAreRepetitions() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            Hello own = Hello.of(NodeId.of("own"), Incarnation.of(1), FailureDomain.of("hobart"));
            exchange.open(
                    group, new Address("127.0.0.1", ArchiveWarmUp.freePorts(1).get(0)), own);
            receive(new CancelAsked(CANCELLED));
            receive(new OpenJobs(ImmutableSet.of()));
            receive(new CancelAsked(CANCELLED));
            receive(new CancelAnswered(JOB, false));
            receive(new CancelAsked(JOB));
            receive(new JobWithdrawn(JOB));
            receive(new CancelAsked(CANCELLED));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        }
        assertEquals(
                calls,
                ImmutableList.of(
                        "cancelled, PEER",
                        "open at peer []",
                        "cancelled, REPETITION",
                        "cancel answered",
                        "cancelled, REPETITION",
                        "withdrawn by peer",
                        "cancelled, PEER"));
    }

    private void receive(Frame frame) {
        exchange.received(PEER, Incarnation.of(1), frame);
    }

    /** Guards against clients that wait for the answers of a node that was removed, each for the full timeout. */
    @Test
    public void testIsReachable_untilDisconnected() {
        assertTrue(exchange.isReachable(PEER));
        exchange.received(PEER, Incarnation.of(1), new JobWithdrawn(JOB));
        exchange.disconnected(PEER, Incarnation.of(1));
        assertFalse(exchange.isReachable(PEER));
        assertEquals(calls, ImmutableList.of("withdrawn by peer", "peer unreachable", "disconnected"));
        exchange.received(PEER, Incarnation.of(2), new JobWithdrawn(JOB));
        assertTrue(exchange.isReachable(PEER));
    }

    /** Guards against clients that wait for a node that was never reached: its row is older than this node. */
    @Test
    public void testIsReachable_frameUndelivered() {
        exchange.undelivered(PEER, new CancelAsked(CANCELLED));
        assertFalse(exchange.isReachable(PEER));
        assertEquals(calls, ImmutableList.of("peer unreachable"));
    }

    /** Guards against a job that waits for a peer whose next incarnation knows nothing of it. */
    @Test
    public void testReceived_laterIncarnation() {
        NodeId restarted = NodeId.of("restarted");
        exchange.received(restarted, Incarnation.of(1), new JobWithdrawn(JOB));
        exchange.received(restarted, Incarnation.of(2), new JobWithdrawn(JOB));
        assertEquals(calls, ImmutableList.of("withdrawn by restarted", "disconnected", "withdrawn by restarted"));
    }

    /** Guards against offers that are sent to a restarted peer as if it had received them before. */
    @Test
    public void testFirstFrames_laterIncarnation() {
        NodeId restarted = NodeId.of("restarted-again");
        exchange.received(restarted, Incarnation.of(1), new JobWithdrawn(JOB));
        exchange.firstFrames(restarted, Incarnation.of(2));
        assertEquals(calls, ImmutableList.of("withdrawn by restarted-again", "disconnected"));
    }

    /** Records calls as text. */
    private final class RecordingHandler implements PeerFrameHandler {
        @Override
        public void statusReceived(NodeStatus status) {
            calls.add("status");
        }

        @Override
        public boolean connectionLost(NodeId peer) {
            calls.add("connection lost");
            return true;
        }

        @Override
        public ImmutableList<Offer> offersToSendAgain(NodeId peer) {
            return ImmutableList.of(OFFER);
        }

        @Override
        public void disconnected(NodeId peer) {
            calls.add("disconnected");
        }

        @Override
        public void offerReceived(Offer offer) {
            calls.add("offered");
        }

        @Override
        public void offerUndelivered(NodeId peer, JobId job) {
            calls.add("not offered");
        }

        @Override
        public void verdictReceived(NodeId holder, JobVerdict verdict) {
            calls.add("verdict of " + holder + " " + verdict.verdict());
        }

        @Override
        public void withdrawalReceived(NodeId peer, JobId job) {
            calls.add("withdrawn by " + peer);
        }

        @Override
        public void openJobsReceived(NodeId peer, ImmutableSet<JobId> open) {
            calls.add("open at " + peer + " " + open);
        }

        @Override
        public ImmutableSet<JobId> openJobsAt(NodeId peer) {
            return ImmutableSet.of(JOB);
        }

        @Override
        public CancelFrameHandler cancellations() {
            return new RecordingCancelHandler();
        }

        @Override
        public byte[] configurationText() {
            return new byte[0];
        }

        @Override
        public long configurationVersion() {
            return 0;
        }

        @Override
        public void configurationReceived(NodeId peer, byte[] text) {
            calls.add("configuration");
        }

        @Override
        public EndpointExchange endpointExchange() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void nodesReceived(ImmutableList<Member> nodes) {
            calls.add("nodes " + nodes);
        }
    }

    /** Records calls as text. */
    private final class RecordingCancelHandler implements CancelFrameHandler {
        @Override
        public boolean cancel(JobId job, CancelSource source) {
            calls.add("cancelled, " + source);
            return false;
        }

        @Override
        public ImmutableList<JobId> toRepeat(CancelSource source) {
            return toRepeat.get(source).asList();
        }

        @Override
        public void cancelled(NodeId peer, JobId job, boolean known) {
            calls.add("cancel answered");
        }

        @Override
        public void unreachable(NodeId peer) {
            calls.add(peer + " unreachable");
        }
    }
}
