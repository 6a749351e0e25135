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

/**
 * Simulated connections between the nodes of a test that behave like the real transport: each node opens one to each
 * peer to which it sends, and every connection delivers in order.
 *
 * <p>A node is notified only when its last connection with a peer has closed.
 */
final class FakeConnections {
    private static final long LATENCY_MILLIS = 1;

    /** The real transport's first delay before it reconnects, in milliseconds. */
    private static final long RECONNECT_MILLIS = 50;

    private final VirtualTimers timers;
    private final Map<NodeId, FakeNode> nodes = new LinkedHashMap<>();
    private final Map<Direction, Link> links = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();

    FakeConnections(VirtualTimers timers) {
        this.timers = timers;
    }

    void add(FakeNode node) {
        nodes.put(node.id(), node);
    }

    Iterable<FakeNode> nodes() {
        return nodes.values();
    }

    /** Sends on the sender's own connection to the peer, which is opened if necessary. */
    void send(NodeId from, NodeId to, Frame frame) {
        link(from, to).send(frame);
    }

    /** Sends on any connection that is open at the sender; if there is none, the frame is lost. */
    void reply(NodeId from, NodeId to, Frame frame) {
        connections.stream()
                .filter(connection -> connection.isOpenBetween(from, to))
                .findFirst()
                .ifPresent(connection -> connection.write(to, frame));
    }

    /** Breaks the connection that one node has opened to another; frames in flight on it are lost. */
    void breakConnection(NodeId from, NodeId to) {
        link(from, to).connection.breakNow();
    }

    /** Delays all frames, in both directions, on the present connection that one node has opened to another. */
    void stall(NodeId from, NodeId to, long millis) {
        link(from, to).connection.stalledUntilMillis = timers.nowMillis() + millis;
    }

    /** Makes attempts to open a connection fail for the given time. */
    void refuseConnections(NodeId from, NodeId to, long millis) {
        link(from, to).refusedUntilMillis = timers.nowMillis() + millis;
    }

    /** Closes a node's connections with a peer; the peer sees each close after the frames sent on it earlier. */
    void disconnect(NodeId node, NodeId peer) {
        for (Connection connection : List.copyOf(connections)) {
            if (connection.isOpenBetween(node, peer)) {
                connection.deliver(peer, () -> connection.closeAt(peer));
                connection.closeAt(node);
            }
        }
    }

    private Link link(NodeId from, NodeId to) {
        return links.computeIfAbsent(new Direction(from, to), Link::new);
    }

    private void closed(Connection connection, NodeId node) {
        NodeId peer = connection.otherThan(node);
        if (node.equals(connection.direction.from())) {
            link(node, peer).closed(connection);
        }
        if (connections.stream().noneMatch(other -> other.isOpenBetween(node, peer))) {
            nodes.get(node).disconnected(peer);
        }
    }

    /** The node that opens a connection, and its peer. */
    private record Direction(NodeId from, NodeId to) {}

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
        private final List<Frame> waiting = new ArrayList<>();
        private Connection connection;
        private boolean reconnectPending;
        private long refusedUntilMillis;

        Link(Direction direction) {
            this.direction = direction;
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
                connectLater();
            }
        }

        private void connectLater() {
            reconnectPending = true;
            timers.schedule(RECONNECT_MILLIS, () -> {
                reconnectPending = false;
                connectIfNeeded();
            });
        }

        private void connectIfNeeded() {
            if (connection != null || reconnectPending || waiting.isEmpty()) {
                return;
            }
            List<Frame> frames = List.copyOf(waiting);
            waiting.clear();
            if (timers.nowMillis() < refusedUntilMillis) {
                frames.forEach(frame -> frame.undelivered().run());
                connectLater();
                return;
            }
            connection = new Connection(direction);
            connections.add(connection);
            connection.open();
            connection.write(direction.to(), nodes.get(direction.from()).firstFrame(direction.to()));
            frames.forEach(frame -> connection.write(direction.to(), frame));
        }
    }

    /** One connection; each end detects its close independently. */
    private final class Connection {
        private final Direction direction;
        private final Set<NodeId> openAt = new HashSet<>();
        private boolean broken;
        private long stalledUntilMillis;

        Connection(Direction direction) {
            this.direction = direction;
        }

        void open() {
            openAt.add(direction.from());
            deliver(direction.to(), () -> openAt.add(direction.to()));
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
                    frame.arrival().accept(nodes.get(to));
                }
            });
        }

        void deliver(NodeId to, Runnable arrival) {
            long millis = Math.max(LATENCY_MILLIS, stalledUntilMillis - timers.nowMillis());
            timers.schedule(millis, () -> {
                if (!broken) {
                    arrival.run();
                }
            });
        }

        void breakNow() {
            broken = true;
            closeAt(direction.from());
            closeAt(direction.to());
        }

        void closeAt(NodeId node) {
            if (openAt.remove(node)) {
                FakeConnections.this.closed(this, node);
            }
        }
    }
}
