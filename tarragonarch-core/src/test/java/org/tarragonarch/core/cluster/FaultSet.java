package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Random;

/** The faults that may happen in a series, and where. */
enum FaultSet {
    /** Connections, suspensions and cuts. */
    CUTS_CLOCK_STOPS(SteadyClock.STOPS, Kinds.CUTS),
    /** Suspensions and cuts. */
    NO_CONNECTION_FAULTS_CLOCK_STOPS(SteadyClock.STOPS, Kinds.without(Kinds.CUTS, Kinds.CONNECTIONS)),
    /** Suspensions and cuts of endpoints alone. */
    NODES_CONNECTED_CLOCK_STOPS(
            SteadyClock.STOPS,
            Kinds.without(Kinds.without(Kinds.CUTS, Kinds.CONNECTIONS), ImmutableSet.of(SeriesFault.NODES_APART))),
    /** Connections, suspensions and cuts. */
    CUTS_CLOCK_GOES_ON(SteadyClock.GOES_ON, Kinds.CUTS),
    /** Connections, suspensions, cuts and clients. */
    CLIENTS_CLOCK_GOES_ON(SteadyClock.GOES_ON, Kinds.CUTS_AND_CLIENTS),
    /** All of the above, and endpoints that restart. */
    ALL_CLOCK_STOPS(SteadyClock.STOPS, Kinds.ALL),
    /** All of the above but orders that are lost or late for all nodes. */
    NO_ENDPOINT_WIDE_CLOCK_STOPS(
            SteadyClock.STOPS, Kinds.without(Kinds.ALL, ImmutableSet.of(SeriesFault.ENDPOINT_WIDE))),
    /** All of the above, and endpoints that restart. */
    ALL_CLOCK_GOES_ON(SteadyClock.GOES_ON, Kinds.ALL),
    /** Nodes apart, suspensions, clients and restarts: an endpoint with two holders forgets the higher token. */
    RESTARTS_CLOCK_STOPS(SteadyClock.STOPS, Kinds.RESTARTS),
    /** Lost packets in one direction, and orders that arrive late, too. */
    LATE_CLOCK_STOPS(SteadyClock.STOPS, Kinds.LATE),
    /** Lost packets in one direction, and orders that arrive late, too. */
    LATE_CLOCK_GOES_ON(SteadyClock.GOES_ON, Kinds.LATE),
    /** Nodes that end and start again, without restarts of endpoints. */
    NODES_RESTART(SteadyClock.GOES_ON, Kinds.NODES),
    /** Nodes that end and start again, without restarts of endpoints, in three failure domains. */
    NODES_RESTART_THREE_DOMAINS(ClusterLayout.THREE_DOMAINS, SteadyClock.GOES_ON, Kinds.NODES),
    /** Nodes that end and start again, without restarts of endpoints, in three failure domains. */
    NODES_RESTART_THREE_DOMAINS_CLOCK_STOPS(ClusterLayout.THREE_DOMAINS, SteadyClock.STOPS, Kinds.NODES),
    /** Nodes apart, suspensions, clients and restarts of endpoints, in three failure domains. */
    RESTARTS_THREE_DOMAINS(ClusterLayout.THREE_DOMAINS, SteadyClock.GOES_ON, Kinds.RESTARTS),
    /** Every fault, in three failure domains. */
    EVERY_FAULT_THREE_DOMAINS(
            ClusterLayout.THREE_DOMAINS, SteadyClock.GOES_ON, ImmutableSet.copyOf(SeriesFault.values()));

    private final ClusterLayout layout;
    private final SteadyClock suspendedClock;
    private final ImmutableList<SeriesFault> faults;

    FaultSet(SteadyClock suspendedClock, ImmutableSet<SeriesFault> faults) {
        this(ClusterLayout.TWO_DOMAINS, suspendedClock, faults);
    }

    FaultSet(ClusterLayout layout, SteadyClock suspendedClock, ImmutableSet<SeriesFault> faults) {
        this.layout = layout;
        this.suspendedClock = suspendedClock;
        this.faults = faults.asList();
    }

    int jobs() {
        return layout.jobs();
    }

    /**
     * Returns a cluster without jobs.
     *
     * @param seed decides what is drawn
     */
    FaultFixture start(long seed) {
        return new FaultFixture(layout, suspendedClock, seed);
    }

    /** Returns any of the faults. */
    SeriesFault draw(Random random) {
        return faults.get(random.nextInt(faults.size()));
    }

    /** Groups of faults. */
    private static final class Kinds {
        static final ImmutableSet<SeriesFault> CONNECTIONS =
                ImmutableSet.of(SeriesFault.CONNECTION_BREAKS, SeriesFault.CONNECTION_SILENT);
        static final ImmutableSet<SeriesFault> CUTS = with(
                CONNECTIONS,
                SeriesFault.NODES_APART,
                SeriesFault.SUSPENDED,
                SeriesFault.ENDPOINT_CUT_OFF,
                SeriesFault.ENDPOINT_WIDE);
        static final ImmutableSet<SeriesFault> CUTS_AND_CLIENTS = with(CUTS, SeriesFault.CLIENT_COMES_AGAIN);
        static final ImmutableSet<SeriesFault> ALL = with(CUTS_AND_CLIENTS, SeriesFault.ENDPOINT_RESTARTS);
        static final ImmutableSet<SeriesFault> RESTARTS = ImmutableSet.of(
                SeriesFault.NODES_APART,
                SeriesFault.SUSPENDED,
                SeriesFault.ENDPOINT_RESTARTS,
                SeriesFault.CLIENT_COMES_AGAIN);
        static final ImmutableSet<SeriesFault> LATE =
                with(CUTS_AND_CLIENTS, SeriesFault.ONE_WAY, SeriesFault.ORDERS_HELD);
        static final ImmutableSet<SeriesFault> NODES =
                with(LATE, SeriesFault.NODE_KILLED, SeriesFault.NODE_STOPPED, SeriesFault.CONFIGURED);

        private Kinds() {}

        static ImmutableSet<SeriesFault> with(ImmutableSet<SeriesFault> faults, SeriesFault... more) {
            return ImmutableSet.<SeriesFault>builder().addAll(faults).add(more).build();
        }

        static ImmutableSet<SeriesFault> without(ImmutableSet<SeriesFault> all, ImmutableSet<SeriesFault> faults) {
            return Sets.difference(all, faults).immutableCopy();
        }
    }
}
