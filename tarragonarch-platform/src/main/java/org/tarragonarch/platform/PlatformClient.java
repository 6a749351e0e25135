package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.model.id.Address;

/**
 * A client of the platform over HTTP and JSON, as specified by docs/PLATFORM-PROTOCOL.md.
 *
 * <p>Thread-safe. Every call blocks its thread for at most the timeout. A request that may have reached the platform is
 * not sent again automatically: callers handle lost replies, since they know which writes can be repeated safely.
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
     * Creates a client that sends no {@code Client-Name} header.
     *
     * @param address the address that the platform listens on
     * @param timeout the limit on the duration of one call, from connecting to the last byte of the reply
     * @throws IllegalArgumentException if the timeout is not positive
     */
    public static PlatformClient create(Address address, Duration timeout) {
        return create(address, "", timeout);
    }

    /**
     * Creates a client; no connection is opened before the first call.
     *
     * @param address the address that the platform listens on
     * @param name the caller's name, for instance that of a node; sent as the header {@code Client-Name} unless empty
     * @param timeout the limit on the duration of one call, from connecting to the last byte of the reply
     * @throws IllegalArgumentException if the timeout is not positive
     */
    public static PlatformClient create(Address address, String name, Duration timeout) {
        checkNotNull(address, "address");
        checkNotNull(name, "name");
        checkArgument(!timeout.isNegative() && !timeout.isZero(), "timeout %s is not positive", timeout);
        return new PlatformClient(new PlatformHttp(address, name, timeout));
    }

    /** Returns the store of configurations. */
    public ConfigurationStore configurationStore() {
        return configurationStore;
    }

    /** Returns the store of claims. */
    public ClaimStore claimStore() {
        return claimStore;
    }

    /** Returns the platform's list of VMs. */
    public VmListService vmList() {
        return vmList;
    }

    /** Cancels calls in progress and closes all idle connections. */
    @Override
    public void close() {
        http.close();
    }
}
