package org.tarragonarch.ctl.admin;

import com.google.common.collect.ImmutableSet;
import java.net.ConnectException;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** A call to a node's administration API had no usable result. */
public final class AdminException extends StepException {
    /** The status of an error that arose before or without an HTTP answer. */
    public static final int NO_STATUS = 0;

    private static final long serialVersionUID = 1L;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR = 500;

    /** The codes of a node that certainly did not do what was asked, although another might. */
    private static final ImmutableSet<String> NOT_DONE = ImmutableSet.of("platform-unavailable", "not-ready", "busy");

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

    /** Returns the error of an answer that cannot be read. */
    public static AdminException unreadable(Address node, String problem) {
        String message = "the answer of " + node + " cannot be read: " + problem;
        return new AdminException(Step.PEER, node.toString(), message, NO_STATUS, "", null);
    }

    /** Returns the HTTP status, or {@link #NO_STATUS}. */
    public int status() {
        return status;
    }

    /** Returns whether the node has not what was asked for. */
    public boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns whether another change was accepted first. */
    public boolean isConflict() {
        return status == CONFLICT;
    }

    /** Returns whether what was asked may have been done all the same. */
    public boolean mayHaveApplied() {
        boolean neverSent = getCause() instanceof ConnectException;
        return isInconclusive() && !neverSent && !NOT_DONE.contains(code);
    }

    /** Returns whether the node's answer leaves open if it did what was asked, so that another node may be asked. */
    public boolean isInconclusive() {
        return status == NO_STATUS || status >= FIRST_SERVER_ERROR;
    }
}
