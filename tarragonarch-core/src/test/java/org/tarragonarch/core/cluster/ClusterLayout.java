package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.DEVONPORT;
import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;

/** The nodes and endpoints of a fault series. */
enum ClusterLayout {
    /** The nodes and endpoints of {@link SeparatePoolsFixture}. */
    TWO_DOMAINS(ImmutableSet.of(HOBART, LAUNCESTON), 4) {
        @Override
        void build(FaultFixture fixture) {
            fixture.addEndpoint("w-1", HOBART);
            fixture.addEndpoint("w-2", LAUNCESTON);
            fixture.addNode("a", HOBART, 750);
            fixture.addNode("b", HOBART, 900);
            fixture.addNode("c", LAUNCESTON, 900);
            fixture.addNode("d", HOBART, 800);
        }
    },
    /** Two nodes and four endpoints in each of two failure domains, which form one pool. */
    POOLED(ImmutableSet.of(HOBART, LAUNCESTON), 10) {
        @Override
        FakeCluster cluster() {
            return FakeCluster.pooled();
        }

        @Override
        void build(FaultFixture fixture) {
            for (int number = 1; number <= 8; number++) {
                fixture.addEndpoint("w-" + number, number <= 4 ? HOBART : LAUNCESTON);
            }
            fixture.addNode("a", HOBART, 750);
            fixture.addNode("b", HOBART, 900);
            fixture.addNode("c", LAUNCESTON, 850);
            fixture.addNode("d", LAUNCESTON, 800);
        }
    },
    /** Two nodes and two endpoints in each of three failure domains. */
    THREE_DOMAINS(ImmutableSet.of(HOBART, LAUNCESTON, DEVONPORT), 12) {
        @Override
        void build(FaultFixture fixture) {
            int name = 0;
            for (FailureDomain domain : domains()) {
                name += 2;
                fixture.addEndpoint("w-" + (name - 1), domain);
                fixture.addEndpoint("w-" + name, domain);
                fixture.addNode("n-" + (name - 1), domain, 900);
                fixture.addNode("n-" + name, domain, 800);
            }
        }
    };

    private final ImmutableSet<FailureDomain> domains;
    private final int jobs;

    ClusterLayout(ImmutableSet<FailureDomain> domains, int jobs) {
        this.domains = domains;
        this.jobs = jobs;
    }

    /** Returns the number of jobs, of one or two tasks, of which some have to wait for capacity. */
    int jobs() {
        return jobs;
    }

    ImmutableSet<FailureDomain> domains() {
        return domains;
    }

    /** Returns the cluster without endpoints and nodes. */
    FakeCluster cluster() {
        return new FakeCluster(domains);
    }

    /** Adds all endpoints and nodes. */
    abstract void build(FaultFixture fixture);
}
