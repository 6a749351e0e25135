package org.tarragonarch.ctl.admin;

import com.google.common.collect.ImmutableSet;
import java.net.ConnectException;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when a call to a node's administration API is refused or gets no valid answer. */
public final class AdminException extends StepException {
    /** The status if there was no valid HTTP answer. */
    public static final int NO_STATUS = 0;

    private static final long serialVersionUID = 1L;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Problem codes of calls that were not carried out, although another node may be able to. */
    private static final ImmutableSet<String> NOT_APPLIED_CODES =
            ImmutableSet.of("platform-unavailable", "not-ready", "busy");

    private final int status;
    private final String code;

    private AdminException(Step step, String peer, String message, int status, String code, Throwable cause) {
        super(step, peer, message, cause);
        this.status = status;
        this.code = code;
    }

    static AdminException noAnswer(Address node, Throwable cause) {
        String message = "no answer from " + node + ": " + cause.getMessage();
        return new AdminException(Step.PEER, node.toString(), message, NO_STATUS, "", cause);
    }

    static AdminException refused(Address node, int status, String code, String detail) {
        return new AdminException(Step.PEER, node.toString(), detail + " (status " + status + ")", status, code, null);
    }

    /** Returns an exception for an invalid answer. */
    public static AdminException unreadable(Address node, String problem) {
        String message = "the answer of " + node + " is invalid: " + problem;
        return new AdminException(Step.PEER, node.toString(), message, NO_STATUS, "", null);
    }

    /** Returns the HTTP status, or {@link #NO_STATUS}. */
    public int status() {
        return status;
    }

    /** Returns whether the requested resource does not exist. */
    public boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns whether another change was accepted before this one. */
    public boolean isConflict() {
        return status == CONFLICT;
    }

    /** Returns whether the call may have been carried out despite the failure. */
    public boolean mayHaveApplied() {
        boolean neverSent = getCause() instanceof ConnectException;
        return isInconclusive() && !neverSent && !NOT_APPLIED_CODES.contains(code);
    }

    /** Returns whether the node did not decide on the call, so that it may be repeated at another node. */
    public boolean isInconclusive() {
        return status == NO_STATUS || status >= FIRST_SERVER_ERROR;
    }
}
