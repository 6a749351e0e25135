package org.tarragonarch.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.body.SubmissionContent;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.platform.ConfigurationLoader;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public final class PeerShellTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("hobart");
    private static final ClaimKey KEY =
            new ClaimKey(ServiceName.of("proof-board"), CallerName.of("upload-page"), new IdempotencyKey("k"));
    private static final byte[] CONFIGURATION = "{}".getBytes(StandardCharsets.UTF_8);

    private final List<Node> nodes = new CopyOnWriteArrayList<>();

    @AfterMethod
    public void tearDown() {
        nodes.forEach(node -> node.shell.close());
        nodes.clear();
    }

    // Guards against different answers to a request that a client sends to two nodes under one idempotency key: the
    // node without the claim must return the results of the node that holds it.
    @Test
    public void testAskAnswer_complete() throws Exception {
        Node holder = new Node("hobart-1", 1, freeAddress());
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        SubmissionId original = holder.store(1, "1.0", "[\"a\"]");
        SubmissionId waiting = asker.store(2);

        asker.shell.askAnswer(new AskPeerAnswer(holder.id, waiting, KEY));
        PeerAnswerAsked asked = holder.await(PeerAnswerAsked.class);
        assertEquals(asked.key(), KEY);
        holder.shell.giveAnswer(new GivePeerAnswer(
                asker.id, asked.question(), PeerAnswer.COMPLETE, Optional.of(original), Optional.empty()));

        PeerAnswerArrived arrived = asker.await(PeerAnswerArrived.class);
        assertEquals(arrived, new PeerAnswerArrived(waiting, PeerAnswer.COMPLETE, Optional.empty()));
        assertEquals(asker.results(waiting), List.of("1.0", "[\"a\"]"));
    }

    @Test
    public void testAskAnswer_problem() throws Exception {
        Node holder = new Node("hobart-1", 1, freeAddress());
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        SubmissionId waiting = asker.store(1);
        Optional<Problem> problem = Optional.of(Problem.of(ProblemCode.TASK_FAILED, Step.RUN, "hobart-w1", "broke"));

        asker.shell.askAnswer(new AskPeerAnswer(holder.id, waiting, KEY));
        PeerAnswerAsked asked = holder.await(PeerAnswerAsked.class);
        holder.shell.giveAnswer(
                new GivePeerAnswer(asker.id, asked.question(), PeerAnswer.PROBLEM, Optional.empty(), problem));

        assertEquals(asker.await(PeerAnswerArrived.class), new PeerAnswerArrived(waiting, PeerAnswer.PROBLEM, problem));
    }

    @Test
    public void testAskAnswer_holderUnknownOrUnreachable() throws Exception {
        Node asker = new Node("hobart-2", 1, freeAddress());
        SubmissionId waiting = asker.store(1);
        PeerAnswerArrived none = new PeerAnswerArrived(waiting, PeerAnswer.NOT_TO_BE_HAD, Optional.empty());

        asker.shell.askAnswer(new AskPeerAnswer(NodeId.of("hobart-9"), waiting, KEY));
        assertEquals(asker.await(PeerAnswerArrived.class), none);
        asker.events.clear();
        asker.shell.updateAddresses(ImmutableList.of(record("hobart-9", freeAddress())));
        asker.shell.askAnswer(new AskPeerAnswer(NodeId.of("hobart-9"), waiting, KEY));
        assertEquals(asker.await(PeerAnswerArrived.class), none);
    }

    // Guards against a caller that waits until its deadline because the holder was restarted at the same address after
    // it received the question. The question is repeated, and the new incarnation answers that it has no such key.
    @Test
    public void testAskAnswer_holderRestarted() throws Exception {
        Address address = freeAddress();
        Node holder = new Node("hobart-1", 1, address);
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        SubmissionId waiting = asker.store(1);
        asker.shell.askAnswer(new AskPeerAnswer(holder.id, waiting, KEY));
        holder.await(PeerAnswerAsked.class);
        holder.shell.close();

        Node later = new Node("hobart-1", 2, address);
        PeerAnswerAsked again = later.await(PeerAnswerAsked.class);
        later.shell.giveAnswer(new GivePeerAnswer(
                asker.id, again.question(), PeerAnswer.NOT_TO_BE_HAD, Optional.empty(), Optional.empty()));

        assertEquals(asker.await(PeerAnswerArrived.class).outcome(), PeerAnswer.NOT_TO_BE_HAD);
    }

    @Test
    public void testLoadConfiguration_fromPeer() throws Exception {
        Node holder = new Node("hobart-1", 1, freeAddress());
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        ConfigurationVersion version = ConfigurationVersion.of(5);
        holder.adopt(version);

        asker.shell.loadConfiguration(new LoadConfiguration(version, Optional.empty(), Optional.of(holder.id)));
        ConfigurationLoaded loaded = asker.await(ConfigurationLoaded.class);
        assertEquals(loaded.catalog().version(), version);
        assertEquals(loaded.catalog().digest(), ContentDigest.of(CONFIGURATION));
        assertEquals(loaded.source(), "hobart-1");
    }

    // Guards against a node that puts in force a text other than the accepted one, because it does not check the digest
    // of the text that a peer sent.
    @Test
    public void testLoadConfiguration_otherDigest() throws Exception {
        Node holder = new Node("hobart-1", 1, freeAddress());
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        ConfigurationVersion version = ConfigurationVersion.of(5);
        holder.adopt(version);

        asker.shell.loadConfiguration(
                new LoadConfiguration(version, Optional.of(ContentDigest.of(new byte[] {1})), Optional.of(holder.id)));
        assertTrue(asker.await(ConfigurationLoadFailed.class).detail().contains("digest"));
    }

    @Test
    public void testLoadConfiguration_peerHasOnlyOlder() throws Exception {
        Node holder = new Node("hobart-1", 1, freeAddress());
        Node asker = new Node("hobart-2", 1, freeAddress());
        exchangeAddresses(holder, asker);
        holder.adopt(ConfigurationVersion.of(4));

        asker.shell.loadConfiguration(
                new LoadConfiguration(ConfigurationVersion.of(5), Optional.empty(), Optional.of(holder.id)));
        assertEquals(asker.await(ConfigurationLoadFailed.class).version(), ConfigurationVersion.of(5));
    }

    private static void exchangeAddresses(Node first, Node second) {
        ImmutableList<VmRecord> list =
                ImmutableList.of(record(first.id.value(), first.address), record(second.id.value(), second.address));
        first.shell.updateAddresses(list);
        second.shell.updateAddresses(list);
    }

    private static VmRecord record(String name, Address address) {
        return new VmRecord(name, VmRole.ENTRY, DOMAIN, address, VmState.LIVE, ImmutableSet.of(), 0);
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }

    private final class Node {
        private final NodeId id;
        private final Incarnation incarnation;
        private final Address address;
        private final List<Event> events = new CopyOnWriteArrayList<>();
        private final BodyStore bodies = BodyStore.create(1 << 20);
        private final CatalogInForce catalog = CatalogInForce.create();
        private final ConfigurationTexts texts = ConfigurationTexts.create();
        private final ConfigurationLoader loader = ConfigurationLoader.create(texts);
        private final PeerShell shell;

        private Node(String name, long number, Address address) throws StepException {
            this.id = NodeId.of(name);
            this.incarnation = Incarnation.of(number);
            this.address = address;
            NodeIdentity identity = new NodeIdentity(id, incarnation, DOMAIN, address);
            this.shell =
                    PeerShell.create(identity, bodies, catalog, texts, loader, events::add, NodeMetrics.create(id));
            shell.open();
            nodes.add(this);
        }

        private SubmissionId store(long sequence, String... results) {
            SubmissionId submission = new SubmissionId(id, incarnation, sequence);
            ImmutableList<byte[]> inputs = ImmutableList.of(new byte[] {'1'}, new byte[] {'2'});
            bodies.put(submission, new SubmissionContent(KEY.service(), KindName.of("word-count"), inputs));
            for (int i = 0; i < results.length; i++) {
                bodies.putResult(new TaskId(submission, i), results[i].getBytes(StandardCharsets.UTF_8));
            }
            return submission;
        }

        private void adopt(ConfigurationVersion version) {
            Event loaded = loader.load(version, Optional.empty(), CONFIGURATION, "test");
            catalog.set(((ConfigurationLoaded) loaded).catalog());
        }

        private List<String> results(SubmissionId submission) {
            return bodies.results(submission).orElseThrow().stream()
                    .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                    .toList();
        }

        private <T extends Event> T await(Class<T> type) {
            Eventually.check(
                    type.getSimpleName() + " arrives at " + id,
                    () -> events.stream().anyMatch(type::isInstance));
            return events.stream()
                    .filter(type::isInstance)
                    .map(type::cast)
                    .findFirst()
                    .orElseThrow();
        }
    }
}
