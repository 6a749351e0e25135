package org.tarragonarch.model.outcome;

/** The processing step at which an error arose. */
public enum Step {
    /** Reading the caller's request. */
    READ("read"),
    /** Authenticating the caller. */
    AUTHENTICATE("authenticate"),
    /** Deciding whether the submission is admitted. */
    ADMIT("admit"),
    /** Claiming the idempotency key. */
    CLAIM("claim"),
    /** Waiting for a slot. */
    QUEUE("queue"),
    /** Sending a task to an endpoint. */
    SEND("send"),
    /** Running a task on an endpoint. */
    RUN("run"),
    /** Reading the endpoint's answer. */
    COLLECT("collect"),
    /** Communicating with another node. */
    PEER("peer"),
    /** Communicating with the platform. */
    PLATFORM("platform"),
    /** Checking a configuration or putting it in force. */
    CONFIGURE("configure"),
    /** Starting or stopping the process. */
    LIFECYCLE("lifecycle");

    private final String word;

    Step(String word) {
        this.word = word;
    }

    /** Returns the word for this step in answers and logs. */
    public String word() {
        return word;
    }
}
