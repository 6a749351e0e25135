package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.model.id.Address;

/**
 * The platform over HTTP and JSON, as docs/PLATFORM-PROTOCOL.md states it.
 *
 * <p>Safe for use by many threads. Every call blocks its thread for at most the timeout. No call is repeated behind the
 * caller's back: what a lost reply means is decided by the callers, who know which writes may be sent again.
 */
public final class PlatformClient implements AutoCloseable {
    private final PlatformHttp http;
    private final ConfigurationStore configurationStore;
    private final ClaimStore claimStore;
    private final VmListService vmList;

    private PlatformClient(PlatformHttp http) {
        this.http = http;
        this.configurationStore = new HttpConfigurationStore(http);
        this.claimStore = new HttpClaimStore(http);
        this.vmList = new HttpVmList(http);
    }

    /**
     * Creates a client that sends the platform no name.
     *
     * @param address where the platform listens
     * @param timeout the most that one call may take, from connecting to the last byte of the reply
     */
    public static PlatformClient create(Address address, Duration timeout) {
        return create(address, "", timeout);
    }

    /**
     * Creates a client; no connection is opened before the first call.
     *
     * @param address where the platform listens
     * @param name who calls, a node's name for instance; sent as the header {@code Client-Name}; may be empty
     * @param timeout the most that one call may take, from connecting to the last byte of the reply
     */
    public static PlatformClient create(Address address, String name, Duration timeout) {
        checkNotNull(address, "address");
        checkNotNull(name, "name");
        checkArgument(!timeout.isNegative() && !timeout.isZero(), "timeout %s is not positive", timeout);
        return new PlatformClient(new PlatformHttp(address, name, timeout));
    }

    /** Returns the configurations kept by the platform. */
    public ConfigurationStore configurationStore() {
        return configurationStore;
    }

    /** Returns the claims kept by the platform. */
    public ClaimStore claimStore() {
        return claimStore;
    }

    /** Returns the platform's list of VMs. */
    public VmListService vmList() {
        return vmList;
    }

    /** Breaks off running calls and closes all connections. */
    @Override
    public void close() {
        http.close();
    }
}
