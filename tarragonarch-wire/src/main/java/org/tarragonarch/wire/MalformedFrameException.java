package org.tarragonarch.wire;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Bytes from a peer that are no frame of this protocol; the connection they came by is of no further use. */
public final class MalformedFrameException extends StepException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String peer, String message) {
        super(Step.PEER, peer, message);
    }

    MalformedFrameException(String peer, String message, Throwable cause) {
        super(Step.PEER, peer, message, cause);
    }
}
