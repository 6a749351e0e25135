package org.tarragonarch.core.cluster;

import com.google.common.collect.Sets;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.model.report.DrainedDomains;

/** Applies the drains of failure domains to this node's status and its list of endpoints. */
final class DomainDrains {
    private final StatusSender statusSender;
    private final EndpointList endpoints;
    private final ShardObserver observer;

    DomainDrains(StatusSender statusSender, EndpointList endpoints, ShardObserver observer) {
        this.statusSender = statusSender;
        this.endpoints = endpoints;
        this.observer = observer;
    }

    /** Returns the drained failure domains, as far as this node knows. */
    DrainedDomains known() {
        return statusSender.drained();
    }

    /**
     * Applies a reading, unless the known one is of the same or a newer version; returns whether the drained failure
     * domains have changed.
     *
     * @param source the origin of the reading, for the log: the store or a peer
     */
    boolean apply(DrainedDomains reading, String source) {
        DrainedDomains before = known();
        if (!reading.isNewerThan(before)) {
            return false;
        }
        statusSender.drained(reading);
        if (reading.domains().equals(before.domains())) {
            return false;
        }
        Sets.symmetricDifference(before.domains(), reading.domains())
                .forEach(domain -> observer.drainChanged(domain, reading.contains(domain), reading.version(), source));
        endpoints.setDrainedDomains(reading.domains());
        return true;
    }
}
