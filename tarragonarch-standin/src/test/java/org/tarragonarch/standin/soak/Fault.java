package org.tarragonarch.standin.soak;

import java.io.IOException;

/** A kind of fault that the soak injects. */
enum Fault {
    /** A node is killed and later restarted. */
    NODE_KILLED {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.node(target).kill();
        }

        @Override
        void end(SoakCluster cluster, int target) throws IOException {
            cluster.startNode(target);
        }
    },
    /** A node is stopped as before its VM is replaced (SIGTERM), and later restarted. */
    NODE_STOPPED {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.node(target).terminate();
        }

        @Override
        void end(SoakCluster cluster, int target) throws IOException {
            cluster.startNode(target);
        }
    },
    /** A node is paused with its connections open, and later resumed. */
    NODE_PAUSED {
        @Override
        void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
            cluster.node(target).pause();
        }

        @Override
        void end(SoakCluster cluster, int target) throws IOException, InterruptedException {
            cluster.node(target).resume();
        }
    },
    /** All nodes are killed at the same time and later restarted. */
    ALL_NODES_KILLED {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.killAllNodes();
        }

        @Override
        void end(SoakCluster cluster, int target) throws IOException {
            cluster.startAllNodes();
        }
    },
    /** The store rejects every call. */
    STORE_UNAVAILABLE {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.store().setUnavailable(true);
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.store().setUnavailable(false);
        }
    },
    /** The store accepts calls but does not answer; the configuration changes when it recovers. */
    STORE_UNRESPONSIVE {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.store().setUnresponsive(true);
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.store().setUnresponsive(false);
            cluster.changeConfiguration();
        }
    },
    /** The link from one node to the store drops all bytes. */
    STORE_LINK_SILENT {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.storeLink(target).setMode(FaultyLink.Mode.SILENT);
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.storeLink(target).setMode(FaultyLink.Mode.CLEAR);
        }
    },
    /** The link to an endpoint drops all bytes; the endpoint keeps running. */
    ENDPOINT_SILENT(FaultyLink.Mode.SILENT),
    /** Orders reach an endpoint, but its answers are dropped. */
    ENDPOINT_ONE_WAY(FaultyLink.Mode.ONE_WAY),
    /** Traffic to and from an endpoint is delayed. */
    ENDPOINT_DELAYED(FaultyLink.Mode.DELAYED),
    /** Connections to an endpoint are reset. */
    ENDPOINT_RESET(FaultyLink.Mode.RESET),
    /** An endpoint does not answer some orders and executes them seconds later. */
    ENDPOINT_DELAYS_ORDERS {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.endpoint(target).setDelayedShare(DELAYED_SHARE);
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.endpoint(target).setDelayedShare(0);
        }
    },
    /** An endpoint crashes and restarts with a new id. */
    ENDPOINT_RESTARTED_WITH_NEW_ID(FaultyLink.Mode.RESET) {
        @Override
        void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
            super.begin(cluster, target);
            cluster.restartEndpointWithNewId(target);
        }
    },
    /** An endpoint crashes and restarts with the same id. */
    ENDPOINT_RESTARTED_WITH_SAME_ID(FaultyLink.Mode.RESET) {
        @Override
        void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
            super.begin(cluster, target);
            cluster.restartEndpointWithSameId(target);
        }
    },
    /** The configuration changes twice: when the fault begins and when it ends. */
    CONFIGURATION_CHANGED {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.changeConfiguration();
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.changeConfiguration();
        }
    };

    private static final double DELAYED_SHARE = 0.2;

    private final FaultyLink.Mode linkMode;

    /** Creates a fault that overrides {@link #begin} and {@link #end}. */
    Fault() {
        this(FaultyLink.Mode.CLEAR);
    }

    /** Creates a fault of the link to an endpoint. */
    Fault(FaultyLink.Mode linkMode) {
        this.linkMode = linkMode;
    }

    /** Starts the fault at the node or endpoint with the number {@code target}. */
    void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
        cluster.endpointLink(target).setMode(linkMode);
    }

    /** Ends the fault. */
    void end(SoakCluster cluster, int target) throws IOException, InterruptedException {
        cluster.endpointLink(target).setMode(FaultyLink.Mode.CLEAR);
    }
}
