package org.tarragonarch.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.Offer;

/**
 * Simulated connections between the nodes of a test that behave like the real transport: each node opens one to each
 * peer to which it sends, and every connection delivers in order.
 *
 * <p>A node is notified of each connection that closes. If that was the last one with a peer, the node reconnects, and
 * is notified of the loss of the peer only if that fails.
 */
final class FakeConnections {
    private static final long LATENCY_MILLIS = 1;

    /** The time to open a connection and to exchange hellos, in milliseconds. */
    private static final long CONNECT_MILLIS = 4 * LATENCY_MILLIS;

    /** The real transport's delay before it reconnects after a failure, in milliseconds. */
    private static final long RECONNECT_MILLIS = 50;

    /** The time after which the real transport gives up an attempt whose packets are lost, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The time in which the real transport expects the hello of a peer, in milliseconds. */
    private static final long HELLO_TIMEOUT_MILLIS = 2_000;

    /** The age from which the real transport takes a connection for stable, in milliseconds. */
    private static final long STABLE_MILLIS = 400;

    private final VirtualTimers timers;
    private final Map<NodeId, FakeNode> nodes = new LinkedHashMap<>();
    private final Map<Direction, Link> links = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private final Map<Direction, Long> lostUntilMillis = new HashMap<>();
    private final Set<NodeId> stopped = new HashSet<>();
    private Consumer<String> observer = message -> {};
    /** Receives the offers that nodes send to each other. */
    Consumer<Offer> offerObserver = offer -> {};

    FakeConnections(VirtualTimers timers) {
        this.timers = timers;
    }

    /** Sets the observer of the messages on jobs that nodes send to each other. */
    void setObserver(Consumer<String> messages) {
        observer = messages;
    }

    /** Passes a message on a job to the observer. */
    void observe(NodeId from, NodeId to, String message) {
        observer.accept(from + " to " + to + ": " + message);
    }

    /** Adds a node, which replaces a stopped one with the same id. */
    void add(FakeNode node) {
        nodes.put(node.id(), node);
        stopped.remove(node.id());
        links.keySet().removeIf(direction -> direction.from().equals(node.id()));
    }

    /** Breaks all connections of a killed node; new ones are refused until a node with its id is added. */
    void stop(NodeId node) {
        stopped.add(node);
        links.keySet().removeIf(direction -> direction.from().equals(node));
        List.copyOf(connections).stream()
                .filter(connection -> connection.direction.isOf(node))
                .forEach(Connection::breakNow);
    }

    Iterable<FakeNode> nodes() {
        return nodes.values();
    }

    /** Sends on the sender's own connection to the peer, which is opened if necessary. */
    void send(NodeId from, NodeId to, Frame frame) {
        execute(from, () -> link(from, to).send(frame));
    }

    /** Sends on any connection that is open at the sender; if there is none, the frame is lost. */
    void reply(NodeId from, NodeId to, Frame frame) {
        execute(
                from,
                () -> connections.stream()
                        .filter(connection -> connection.isOpenBetween(from, to))
                        .findFirst()
                        .ifPresent(connection -> connection.write(to, frame)));
    }

    /** Breaks the connection that one node has opened to another, if any; frames in flight on it are lost. */
    void breakConnection(NodeId from, NodeId to) {
        Connection connection = link(from, to).connection;
        if (connection != null) {
            connection.breakNow();
        }
    }

    /** Delays all frames, in both directions, on the present connection that one node has opened to another, if any. */
    void stall(NodeId from, NodeId to, long millis) {
        Connection connection = link(from, to).connection;
        if (connection != null) {
            connection.stalledUntilMillis = timers.nowMillis() + millis;
        }
    }

    /** Delays all frames on the present connection that one node has opened to another, and on those it opens later. */
    void stallAll(NodeId from, NodeId to, long millis) {
        stall(from, to, millis);
        link(from, to).stalledUntilMillis = timers.nowMillis() + millis;
    }

    /** Makes attempts to open a connection fail for the given time. */
    void refuseConnections(NodeId from, NodeId to, long millis) {
        link(from, to).refusedUntilMillis = timers.nowMillis() + millis;
    }

    /**
     * Closes a node's connections with a peer, and returns the frames that wait for one as undelivered; the peer sees
     * each close after the frames sent on it earlier.
     */
    void disconnect(NodeId node, NodeId peer) {
        execute(node, () -> {
            link(node, peer).takeWaiting().forEach(frame -> frame.undelivered().run());
            List.copyOf(connections).stream()
                    .filter(connection -> connection.isOpenBetween(node, peer))
                    .forEach(connection -> connection.closeFrom(node));
        });
    }

    /** Loses all packets from one node to another for the given time; open connections send them again after it. */
    void losePackets(NodeId from, NodeId to, long millis) {
        lostUntilMillis.merge(new Direction(from, to), timers.nowMillis() + millis, Math::max);
    }

    private long lostUntilMillis(NodeId from, NodeId to) {
        return lostUntilMillis.getOrDefault(new Direction(from, to), 0L);
    }

    /** Runs a task of a node after the event at hand, like the real transport. */
    private void execute(NodeId at, Runnable task) {
        Inbox inbox = nodes.get(at).inbox();
        timers.schedule(0, () -> inbox.deliver(this, task));
    }

    private Link link(NodeId from, NodeId to) {
        return links.computeIfAbsent(new Direction(from, to), Link::new);
    }

    private void closed(Connection connection, NodeId node, List<Connection> others) {
        NodeId peer = connection.otherThan(node);
        if (node.equals(connection.direction.from())) {
            link(node, peer).closed(connection);
        }
        if (nodes.get(node).connectionLost(peer)) {
            others.forEach(other -> other.closeFrom(node));
            link(node, peer).sendFirstFrames();
        }
        if (!isConnected(node, peer)) {
            link(node, peer).reconnect();
        }
    }

    private boolean isConnected(NodeId node, NodeId peer) {
        return connections.stream().anyMatch(connection -> connection.isOpenBetween(node, peer));
    }

    /** Returns the other connections that a node has open with a peer from before the given one was replaced. */
    private List<Connection> openedBeforeReplacementOf(Connection connection, NodeId node) {
        List<Connection> others = new ArrayList<>();
        boolean isLater = false;
        for (Connection other : connections) {
            if (other == connection) {
                isLater = true;
            } else if (other.isOpenBetween(node, connection.otherThan(node))) {
                if (isLater && other.direction.equals(connection.direction)) {
                    break;
                }
                others.add(other);
            }
        }
        return others;
    }

    /** The node that opens a connection, and its peer. */
    private record Direction(NodeId from, NodeId to) {
        boolean isOf(NodeId node) {
            return node.equals(from) || node.equals(to);
        }
    }

    /**
     * A message from one node to another.
     *
     * @param arrival callback run at the receiver
     * @param undelivered callback run at the sender if the frame was certainly not sent
     */
    record Frame(Consumer<FakeNode> arrival, Runnable undelivered) {}

    /** One node's outgoing link to a peer: its open connection, if any, and the frames that wait for one. */
    private final class Link {
        private final Direction direction;
        private final Inbox inbox;
        private final List<Frame> waiting = new ArrayList<>();
        private Connection connection;
        private boolean reconnectPending;
        private boolean connecting;
        private int attempts;
        private boolean isPeerLost;
        private long refusedUntilMillis;
        private long stalledUntilMillis;

        Link(Direction direction) {
            this.direction = direction;
            this.inbox = nodes.get(direction.from()).inbox();
        }

        void send(Frame frame) {
            if (connection != null) {
                connection.write(direction.to(), frame);
                return;
            }
            waiting.add(frame);
            connectIfNeeded();
        }

        void closed(Connection closed) {
            if (connection == closed) {
                connection = null;
                if (closed.isStable()) {
                    connectIfNeeded();
                } else {
                    connectLater();
                }
            }
        }

        /** Opens a connection even if no frame waits for one; the peer is lost if that fails. */
        void reconnect() {
            isPeerLost = true;
            connectIfNeeded();
        }

        private void connectLater() {
            reconnectPending = true;
            schedule(RECONNECT_MILLIS, () -> {
                reconnectPending = false;
                connectIfNeeded();
            });
        }

        private void connectIfNeeded() {
            if (connection != null || connecting || reconnectPending || waiting.isEmpty() && !isPeerLost) {
                return;
            }
            if (timers.nowMillis() < refusedUntilMillis || stopped.contains(direction.to())) {
                connectFailed();
                return;
            }
            connecting = true;
            attempts++;
            int attempt = attempts;
            if (isLossy()) {
                schedule(CONNECT_TIMEOUT_MILLIS, () -> attemptFailed(attempt));
                return;
            }
            // The peer responds when it runs.
            Inbox peer = nodes.get(direction.to()).inbox();
            timers.schedule(
                    CONNECT_MILLIS, () -> peer.deliver(this, () -> inbox.deliver(this, () -> connected(attempt))));
            schedule(HELLO_TIMEOUT_MILLIS, () -> attemptFailed(attempt));
        }

        private boolean isLossy() {
            long until = Math.max(
                    lostUntilMillis(direction.from(), direction.to()),
                    lostUntilMillis(direction.to(), direction.from()));
            return timers.nowMillis() < until;
        }

        private void schedule(long millis, Runnable task) {
            timers.schedule(millis, () -> inbox.deliver(this, task));
        }

        private void attemptFailed(int attempt) {
            if (connecting && attempt == attempts) {
                connecting = false;
                connectFailed();
            }
        }

        private void connectFailed() {
            boolean wasLost = isPeerLost;
            isPeerLost = false;
            connectLater();
            takeWaiting().forEach(frame -> frame.undelivered().run());
            if (wasLost && !isConnected(direction.from(), direction.to())) {
                nodes.get(direction.from()).disconnected(direction.to());
            }
        }

        private void connected(int attempt) {
            if (!connecting || attempt != attempts) {
                return;
            }
            connecting = false;
            isPeerLost = false;
            connection = new Connection(direction);
            connection.stalledUntilMillis = stalledUntilMillis;
            connections.add(connection);
            connection.open();
            sendFirstFrames();
            takeWaiting().forEach(frame -> connection.write(direction.to(), frame));
        }

        void sendFirstFrames() {
            if (connection != null) {
                nodes.get(direction.from())
                        .firstFrames(direction.to())
                        .forEach(frame -> connection.write(direction.to(), frame));
            }
        }

        private List<Frame> takeWaiting() {
            List<Frame> frames = List.copyOf(waiting);
            waiting.clear();
            return frames;
        }
    }

    /** One connection; each end detects its close independently. */
    private final class Connection {
        private final Direction direction;
        private final Set<NodeId> openAt = new HashSet<>();
        private final long openedAtMillis = timers.nowMillis();
        private boolean broken;
        private boolean hasDelivered;
        private long stalledUntilMillis;
        private final Map<NodeId, Long> lastArrivalMillis = new HashMap<>();

        Connection(Direction direction) {
            this.direction = direction;
        }

        void open() {
            openAt.add(direction.from());
            deliver(direction.to(), () -> openAt.add(direction.to()));
        }

        boolean isStable() {
            return timers.nowMillis() - openedAtMillis > STABLE_MILLIS;
        }

        boolean isOpenBetween(NodeId node, NodeId peer) {
            return openAt.contains(node)
                    && (node.equals(direction.from()) || node.equals(direction.to()))
                    && otherThan(node).equals(peer);
        }

        NodeId otherThan(NodeId node) {
            return node.equals(direction.from()) ? direction.to() : direction.from();
        }

        void write(NodeId to, Frame frame) {
            deliver(to, () -> {
                if (openAt.contains(to)) {
                    closeEarlierIncoming(to);
                    frame.arrival().accept(nodes.get(to));
                }
            });
        }

        /** Closes the connections that the other end opened earlier, when it begins to send on this one. */
        private void closeEarlierIncoming(NodeId node) {
            if (hasDelivered || !node.equals(direction.to())) {
                return;
            }
            hasDelivered = true;
            List<Connection> earlier = connections.subList(0, connections.indexOf(this));
            for (Connection other : List.copyOf(earlier)) {
                if (other.direction.equals(direction) && other.openAt.contains(node)) {
                    other.closeFrom(node);
                }
            }
        }

        /** Closes the connection at one end; the other end sees that after the frames sent earlier. */
        void closeFrom(NodeId node) {
            NodeId other = otherThan(node);
            deliver(other, () -> closeAt(other));
            closeAt(node);
        }

        void deliver(NodeId to, Runnable arrival) {
            long now = timers.nowMillis();
            long heldUntil = Math.max(stalledUntilMillis, lostUntilMillis(otherThan(to), to));
            long at = lastArrivalMillis.merge(to, Math.max(now + LATENCY_MILLIS, heldUntil), Math::max);
            timers.schedule(at - now, () -> {
                if (!broken) {
                    nodes.get(to).inbox().deliver(this, arrival);
                }
            });
        }

        void breakNow() {
            broken = true;
            breakAt(direction.from());
            breakAt(direction.to());
        }

        private void breakAt(NodeId node) {
            nodes.get(node).inbox().deliver(this, () -> closeAt(node));
        }

        void closeAt(NodeId node) {
            List<Connection> others = openedBeforeReplacementOf(this, node);
            if (openAt.remove(node)) {
                FakeConnections.this.closed(this, node, others);
            }
        }
    }
}
