package org.tarragonarch.core.cluster;

import org.tarragonarch.core.placing.FakeOrders;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;

/** A fault that may happen at any moment of a series. */
enum SeriesFault {
    /** A connection between two nodes breaks. */
    CONNECTION_BREAKS {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode from = fixture.drawNode();
            FaultNode to = fixture.drawOther(from);
            disturb(from, to, 0);
            fixture.cluster.connections.breakConnection(id(from), id(to));
            return from + " to " + to;
        }
    },
    /** A connection between two nodes goes silent for good. */
    CONNECTION_SILENT {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode from = fixture.drawNode();
            FaultNode to = fixture.drawOther(from);
            disturb(from, to, 0);
            fixture.cluster.connections.stall(id(from), id(to), PERMANENT_MILLIS);
            return from + " to " + to;
        }
    },
    /** Two nodes cannot reach each other, and refuse connections. */
    NODES_APART {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode first = fixture.drawNode();
            FaultNode second = fixture.drawOther(first);
            long millis = fixture.drawMillis(100, 3_000);
            disturb(first, second, millis);
            cut(fixture, first, second, millis);
            cut(fixture, second, first, millis);
            return first + " and " + second + " for " + millis;
        }

        private void cut(FaultFixture fixture, FaultNode from, FaultNode to, long millis) {
            fixture.cluster.connections.stall(id(from), id(to), millis);
            fixture.cluster.connections.refuseConnections(id(from), id(to), millis);
        }
    },
    /** What one node sends to another is lost, and sent again later. */
    ONE_WAY {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode from = fixture.drawNode();
            FaultNode to = fixture.drawOther(from);
            long millis = fixture.drawMillis(100, 3_000);
            disturb(from, to, millis);
            fixture.cluster.connections.losePackets(id(from), id(to), millis);
            return from + " to " + to + " for " + millis;
        }
    },
    /** A node is suspended. */
    SUSPENDED {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode node = fixture.drawNodeUp();
            long millis = fixture.drawMillis(200, 4_200);
            node.suspend(millis, fixture.suspendedClock());
            return node + " for " + millis;
        }
    },
    /** One node cannot reach one endpoint. */
    ENDPOINT_CUT_OFF {
        @Override
        String inject(FaultFixture fixture) {
            return cutOff(fixture, fixture.random.nextBoolean() ? EndpointCut.CALLS : EndpointCut.ANSWERS);
        }
    },
    /** Orders of one node to one endpoint arrive when the node reaches the endpoint again. */
    ORDERS_HELD {
        @Override
        String inject(FaultFixture fixture) {
            return cutOff(fixture, EndpointCut.CALLS_UNTIL_END);
        }
    },
    /** All orders to an endpoint are lost, late or unanswered. */
    ENDPOINT_WIDE {
        @Override
        String inject(FaultFixture fixture) {
            EndpointId endpoint = fixture.drawEndpoint();
            FakeOrders.Fault[] faults = {FakeOrders.Fault.LOST, FakeOrders.Fault.ANSWER_LOST, FakeOrders.Fault.DELAYED};
            FakeOrders.Fault fault = faults[fixture.random.nextInt(faults.length)];
            long millis = fixture.drawMillis(100, 3_000);
            fixture.cluster.orders.setFault(endpoint, fault);
            fixture.timers().schedule(millis, () -> fixture.cluster.orders.setFault(endpoint, FakeOrders.Fault.NONE));
            return endpoint + " " + fault + " for " + millis;
        }
    },
    /** An endpoint restarts under its id. */
    ENDPOINT_RESTARTS {
        @Override
        String inject(FaultFixture fixture) {
            EndpointId endpoint = fixture.drawEndpoint();
            fixture.endpoint(endpoint).restart();
            return endpoint.value();
        }
    },
    /** A client leaves, and submits its job again later. */
    CLIENT_COMES_AGAIN {
        @Override
        String inject(FaultFixture fixture) {
            SeriesClient client = fixture.clients()
                    .get(fixture.random.nextInt(fixture.clients().size()));
            long millis = fixture.drawMillis(50, 1_500);
            fixture.timers().schedule(millis, client::leave);
            return client + " after " + millis;
        }
    },
    /** A node is killed, and starts again later. */
    NODE_KILLED {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode node = fixture.drawNodeUp();
            if (fixture.upNodes() < MIN_NODES) {
                return "none";
            }
            fixture.kill(node);
            long millis = fixture.drawMillis(100, 2_500);
            fixture.restartAfter(node, millis);
            return node + " for " + millis;
        }
    },
    /** A node releases its shards, ends, and starts again later. */
    NODE_STOPPED {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode node = fixture.drawNodeUp();
            if (fixture.upNodes() < MIN_NODES) {
                return "none";
            }
            node.disturb(0);
            node.deliver(this, () -> node.node().coordinator().leave());
            FakeNode leaving = node.node();
            fixture.timers().schedule(fixture.drawMillis(200, 1_500), () -> {
                if (node.isUp() && node.node() == leaving && fixture.upNodes() >= MIN_NODES) {
                    fixture.kill(node);
                    fixture.log(node + " is killed");
                    fixture.restartAfter(node, fixture.drawMillis(100, 2_500));
                }
            });
            return node.toString();
        }
    },
    /** A new configuration, which nodes send to each other at once. */
    CONFIGURED {
        @Override
        String inject(FaultFixture fixture) {
            FaultNode node = fixture.drawNodeUp();
            node.deliver(this, () -> node.node().coordinator().applyConfiguration(fixture.nextConfiguration()));
            return node.toString();
        }
    };

    /** Longer than a series, in milliseconds. */
    private static final long PERMANENT_MILLIS = 60_000;

    /** A node ends only while at least so many are up. */
    private static final int MIN_NODES = 3;

    private static NodeId id(FaultNode node) {
        return node.node().id();
    }

    private static void disturb(FaultNode first, FaultNode second, long millis) {
        first.disturb(millis);
        second.disturb(millis);
    }

    private static String cutOff(FaultFixture fixture, EndpointCut kind) {
        FaultNode node = fixture.drawNodeUp();
        EndpointId endpoint = fixture.drawEndpoint();
        long millis = fixture.drawMillis(100, 3_000);
        node.cut(endpoint, kind, millis);
        return node + " from " + endpoint + " " + kind + " for " + millis;
    }

    /** Makes the fault happen to nodes and endpoints that are drawn, and describes it. */
    abstract String inject(FaultFixture fixture);
}
