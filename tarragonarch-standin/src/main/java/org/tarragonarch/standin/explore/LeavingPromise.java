package org.tarragonarch.standin.explore;

import java.time.Duration;

/** The promise that an endpoint which leaves gets no new work after a few seconds. */
final class LeavingPromise {
    /** How long after an endpoint began to leave a node may still send to it for the first time. */
    private static final long LEAVING_GRACE_NANOS = Duration.ofSeconds(5).toNanos();
    /** A node that knew nothing may find out by one contact; a second one breaks the promise. */
    private static final int LATE_CONTACTS_ALLOWED = 1;

    private static final String PROMISE = "a leaving endpoint gets no new work after a few seconds";

    private final PromiseChecker checker;

    LeavingPromise(PromiseChecker checker) {
        this.checker = checker;
    }

    /**
     * Checks one send to an endpoint.
     *
     * @throws Violation if the node should have known that the endpoint leaves
     */
    void checkSend(FakeNode node, String name, FakeEndpoint endpoint) {
        if (endpoint.hasRefused(node.runName())) {
            throw checker.violation(PROMISE, node.name() + " sent to " + name + " although that refused before");
        }
        int contacts = endpoint.recordLateContact(node.runName(), LEAVING_GRACE_NANOS);
        if (contacts > LATE_CONTACTS_ALLOWED) {
            throw checker.violation(PROMISE, node.name() + " sent to " + name + " " + contacts + " times");
        }
    }
}
