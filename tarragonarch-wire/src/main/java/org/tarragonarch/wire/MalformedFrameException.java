package org.tarragonarch.wire;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown for bytes from a peer that are not a frame of this protocol; their connection has to be closed. */
public final class MalformedFrameException extends StepException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String peer, String message) {
        super(Step.PEER, peer, message);
    }

    MalformedFrameException(String peer, String message, Throwable cause) {
        super(Step.PEER, peer, message, cause);
    }
}
