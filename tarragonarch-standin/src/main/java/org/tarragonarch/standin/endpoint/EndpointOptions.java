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
 * How a stand-in endpoint is set up.
 *
 * @param id its name
 * @param domain the failure domain it stands in
 * @param ip the IP number it listens on
 * @param port the port, or 0 for any free one
 * @param platform the platform at which it registers itself, if at all
 * @param services the services it runs tasks for
 * @param slots how many tasks it runs at once
 * @param linger how long it stays at least once it is draining, so that late senders are answered
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
    /** Checks the parts. */
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
