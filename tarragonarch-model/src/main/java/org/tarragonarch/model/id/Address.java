package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * The address at which a process listens: an IP address and a port, never a host name.
 *
 * @param ip the IP address as text
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks that the IP address is valid and the port in range. */
    public Address {
        checkNotNull(ip, "ip");
        checkArgument(InetAddresses.isInetAddress(ip), "'%s' is not an IP number", ip);
        checkArgument(port >= 1 && port <= MAX_PORT, "port %s is not between 1 and %s", port, MAX_PORT);
    }

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text is not an IP address and a port
     */
    public static Address parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        checkArgument(parsed.hasPort(), "'%s' has no port", text);
        return new Address(parsed.getHost(), parsed.getPort());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && ip.equals(that.ip);
    }

    @Override
    public int hashCode() {
        return 31 * ip.hashCode() + port;
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(ip, port).toString();
    }
}
