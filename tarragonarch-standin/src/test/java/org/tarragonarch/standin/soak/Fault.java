package org.tarragonarch.standin.soak;

import java.io.IOException;

/** A fault that the soak brings about, and how it ends. */
enum Fault {
    /** A node is killed and started again. */
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
    /** A node is told to stop, as before its VM is replaced, and started again. */
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
    /** A node stands still, its connections open, and goes on unaware of it. */
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
    /** Every node is killed at once and started again. */
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
    /** The store turns every call away. */
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
    /** The store takes calls and never answers them; the configuration changes as it comes back. */
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
    /** One node's way to the store goes silent. */
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
    /** The way to an endpoint goes silent; it runs on. */
    ENDPOINT_SILENT(FaultyLink.Mode.SILENT),
    /** Orders reach an endpoint, its answers do not come back. */
    ENDPOINT_ONE_WAY(FaultyLink.Mode.ONE_WAY),
    /** Everything to and from an endpoint is late. */
    ENDPOINT_DELAYED(FaultyLink.Mode.DELAYED),
    /** Connections to an endpoint are reset. */
    ENDPOINT_RESET(FaultyLink.Mode.RESET),
    /** An endpoint leaves some orders without an answer and carries them out seconds later. */
    ENDPOINT_DELAYS_ORDERS {
        @Override
        void begin(SoakCluster cluster, int target) {
            cluster.endpoint(target).setDelayedShare(LATE_SHARE);
        }

        @Override
        void end(SoakCluster cluster, int target) {
            cluster.endpoint(target).setDelayedShare(0);
        }
    },
    /** An endpoint crashes, and restarts under another id. */
    ENDPOINT_RESTARTED_WITH_NEW_ID(FaultyLink.Mode.RESET) {
        @Override
        void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
            super.begin(cluster, target);
            cluster.restartEndpointWithNewId(target);
        }
    },
    /** An endpoint crashes, and restarts under its id. */
    ENDPOINT_RESTARTED_WITH_SAME_ID(FaultyLink.Mode.RESET) {
        @Override
        void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
            super.begin(cluster, target);
            cluster.restartEndpointWithSameId(target);
        }
    },
    /** The operators change the configuration. */
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

    private static final double LATE_SHARE = 0.2;

    private final FaultyLink.Mode endpointLink;

    /** A fault of its own kind, which brings itself about and ends itself. */
    Fault() {
        this(FaultyLink.Mode.CLEAR);
    }

    /** A fault of the way to an endpoint. */
    Fault(FaultyLink.Mode endpointLink) {
        this.endpointLink = endpointLink;
    }

    /** Brings the fault about. */
    void begin(SoakCluster cluster, int target) throws IOException, InterruptedException {
        cluster.endpointLink(target).setMode(endpointLink);
    }

    /** Ends it. */
    void end(SoakCluster cluster, int target) throws IOException, InterruptedException {
        cluster.endpointLink(target).setMode(FaultyLink.Mode.CLEAR);
    }
}
