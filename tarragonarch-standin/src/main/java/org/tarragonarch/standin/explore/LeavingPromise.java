package org.tarragonarch.standin.explore;

import java.time.Duration;

/** The promise that a leaving endpoint gets no new work after a few seconds. */
final class LeavingPromise {
    /** The time after an endpoint begins to leave in which a node that it has not refused may still send to it. */
    private static final long LEAVING_GRACE_NANOS = Duration.ofSeconds(5).toNanos();
    /** A node that does not know may learn of it by one contact; a second contact breaks the promise. */
    private static final int LATE_CONTACTS_ALLOWED = 1;

    private static final String PROMISE = "a leaving endpoint gets no new work after a few seconds";

    private final PromiseChecker checker;

    LeavingPromise(PromiseChecker checker) {
        this.checker = checker;
    }

    /**
     * Checks one sending of a task to an endpoint.
     *
     * @throws Violation if the node should have known that the endpoint is leaving
     */
    void checkSend(FakeNode node, String name, FakeEndpoint endpoint) {
        if (endpoint.hasRefused(node.runName())) {
            throw checker.violation(PROMISE, node.name() + " sent to " + name + " after that endpoint had refused");
        }
        int contacts = endpoint.recordLateContact(node.runName(), LEAVING_GRACE_NANOS);
        if (contacts > LATE_CONTACTS_ALLOWED) {
            throw checker.violation(
                    PROMISE, node.name() + " sent to " + name + " " + contacts + " times after the grace period");
        }
    }
}
