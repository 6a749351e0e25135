package org.tarragonarch.entry.endpoint;

/** Paths, headers and status codes of the endpoint protocol; see {@code docs/ENDPOINT-PROTOCOL.md}. */
final class EndpointProtocol {
    static final String TASKS = "tasks";
    static final String HEALTH = "health";
    static final String TASK_ID = "Task-Id";
    static final String TASK_ATTEMPT = "Task-Attempt";
    static final String TASK_SERVICE = "Task-Service";
    static final String TASK_KIND = "Task-Kind";
    static final String TASK_TIME_ALLOWED = "Task-Time-Allowed-Ms";
    static final String TASK_NOT_STARTED = "Task-Not-Started";
    static final String ENDPOINT_STATE = "Endpoint-State";
    static final String DRAINING = "draining";
    static final String BUSY = "busy";
    static final String LIVE = "live";

    static final int SUCCEEDED = 200;
    static final int TASK_REJECTED = 422;
    static final int TASK_FAILED = 500;
    static final int NOT_STARTED = 503;

    private EndpointProtocol() {}
}
