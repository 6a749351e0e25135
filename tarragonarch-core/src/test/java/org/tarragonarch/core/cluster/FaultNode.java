package org.tarragonarch.core.cluster;

import java.util.Random;
import java.util.function.Consumer;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/** A node of a fault series through all its incarnations. */
final class FaultNode {
    private final FakeCluster cluster;
    private final String name;
    private final int number;
    private final FailureDomain domain;
    private final int milliCores;
    private final Random random;
    private final Consumer<String> log;
    private CutOrders orders;
    private SuspendableNode machine;
    private FakeNode node;
    private long disturbedUntilMillis;

    /** Creates a node without starting it. */
    FaultNode(
            FakeCluster cluster,
            String name,
            int number,
            FailureDomain domain,
            int milliCores,
            Random random,
            Consumer<String> log) {
        this.cluster = cluster;
        this.name = name;
        this.number = number;
        this.domain = domain;
        this.milliCores = milliCores;
        this.random = random;
        this.log = log;
        create();
    }

    private void create() {
        orders = new CutOrders(cluster.timers, cluster.orders, order -> log.accept(name + ": " + order));
        machine = new SuspendableNode(cluster.timers, orders, random);
        node = cluster.addNode(name, number, domain, milliCores, machine);
    }

    /** Starts the node. */
    void start() {
        node.start(FakeCluster.catalog(1));
    }

    FakeNode node() {
        return node;
    }

    boolean isUp() {
        return !machine.isKilled();
    }

    boolean isSuspended() {
        return machine.isSuspended();
    }

    /** Records that the node, or its connections, are disturbed for a time from now on. */
    void disturb(long millis) {
        disturbedUntilMillis = Math.max(disturbedUntilMillis, cluster.timers.nowMillis() + millis);
    }

    /** Returns whether the node is up, and has been running undisturbed for the given time. */
    boolean isUndisturbedFor(long millis) {
        return isUp() && cluster.timers.nowMillis() >= disturbedUntilMillis + millis;
    }

    /** Returns the address under which the node holds shards. */
    String ip() {
        return "10.0.0." + number;
    }

    /** Returns how long the present incarnation was suspended, in milliseconds. */
    long suspendedMillis() {
        return machine.suspendedMillis();
    }

    /** Delivers an event from outside; it waits while the node is suspended, and is lost if the node is killed. */
    void deliver(Object source, Runnable event) {
        machine.deliver(source, event);
    }

    void suspend(long millis, SteadyClock clock) {
        disturb(millis);
        machine.suspend(millis, clock);
        cluster.timers.schedule(millis, () -> log.accept(name + " runs"));
    }

    void cut(EndpointId endpoint, EndpointCut kind, long millis) {
        orders.cut(endpoint, kind, millis);
    }

    /** Ends the node; connections that a client has with it break. */
    void kill() {
        machine.kill();
        cluster.connections.stop(node.id());
    }

    /** Starts a new incarnation of a node that has been killed. */
    void restart() {
        disturb(0);
        create();
        start();
    }

    @Override
    public String toString() {
        return name;
    }
}
