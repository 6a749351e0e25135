package org.tarragonarch.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.tarragonarch.model.id.Address;

/** Allocates free ports on loopback, each at most once. */
final class Ports {
    private static final String LOOPBACK = "127.0.0.1";

    private final Set<Integer> allocated = new HashSet<>();

    Address nextAddress() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
                if (allocated.add(socket.getLocalPort())) {
                    return new Address(LOOPBACK, socket.getLocalPort());
                }
            }
        }
    }
}
