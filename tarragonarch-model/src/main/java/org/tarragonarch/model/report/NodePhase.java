package org.tarragonarch.model.report;

/** The phases of a node's life, from start to exit. */
public enum NodePhase {
    /** The node has no configuration yet and accepts no work. */
    STARTING("starting", false),
    /** The node accepts work. */
    SERVING("serving", true),
    /** The node reports that it is not ready to the balancer, but still accepts work that arrives. */
    DRAINING("draining", true),
    /** The node refuses new work and finishes the work it has. */
    FINISHING("finishing", false),
    /** The node has no work left and may exit. */
    LEFT("left", false);

    private final String word;
    private final boolean takesWork;

    NodePhase(String word, boolean takesWork) {
        this.word = word;
        this.takesWork = takesWork;
    }

    /** Returns the word for this phase in logs and answers. */
    public String word() {
        return word;
    }

    /** Returns whether submissions that arrive in this phase are accepted. */
    public boolean takesWork() {
        return takesWork;
    }
}
