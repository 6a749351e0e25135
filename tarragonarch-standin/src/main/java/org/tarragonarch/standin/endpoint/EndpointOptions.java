package org.tarragonarch.standin.endpoint;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;

/**
 * The options of a stand-in endpoint.
 *
 * @param id the endpoint's id
 * @param domain the endpoint's failure domain
 * @param ip the IP address to listen on
 * @param port the port to listen on, or 0 for any free port
 * @param platform the platform to register with; empty for none
 * @param services the services whose tasks it runs
 * @param slots the number of tasks it runs at once
 * @param linger the minimum time between the start of draining and the end, so that late senders are answered
 */
public record EndpointOptions(
        EndpointId id,
        FailureDomain domain,
        String ip,
        int port,
        Optional<Address> platform,
        ImmutableSet<ServiceName> services,
        int slots,
        Duration linger) {
    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if the number of slots is not positive
     */
    public EndpointOptions {
        checkNotNull(id, "id");
        checkNotNull(domain, "domain");
        checkNotNull(ip, "ip");
        checkNotNull(platform, "platform");
        checkNotNull(services, "services");
        checkArgument(slots > 0, "slots %s is not positive", slots);
        checkNotNull(linger, "linger");
    }
}
