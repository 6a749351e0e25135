package org.tarragonarch.platform.connection;

import java.io.IOException;

/** Thrown when a persistent connection is found closed before any byte of the request was written to it. */
public final class ClosedConnectionException extends IOException {
    private static final long serialVersionUID = 1L;

    ClosedConnectionException(String message) {
        super(message);
    }
}
