package org.tarragonarch.model.outcome;

/** The step on a submission's way at which an error arose. */
public enum Step {
    /** Reading the caller's message. */
    READ("read"),
    /** Finding out who calls. */
    AUTHENTICATE("authenticate"),
    /** Deciding whether the submission is taken. */
    ADMIT("admit"),
    /** Claiming the idempotency key. */
    CLAIM("claim"),
    /** Waiting for a slot. */
    QUEUE("queue"),
    /** Sending a task to an endpoint. */
    SEND("send"),
    /** Running on an endpoint. */
    RUN("run"),
    /** Reading the endpoint's answer. */
    COLLECT("collect"),
    /** Talking to another node. */
    PEER("peer"),
    /** Talking to the platform. */
    PLATFORM("platform"),
    /** Checking or adopting a configuration. */
    CONFIGURE("configure"),
    /** Starting or stopping the process. */
    LIFECYCLE("lifecycle");

    private final String word;

    Step(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in answers and logs. */
    public String word() {
        return word;
    }
}
