package org.tarragonarch.model.report;

/** How far a node is on its way from start to leaving. */
public enum NodePhase {
    /** Has no configuration yet and takes no work. */
    STARTING("starting", false),
    /** Takes work. */
    SERVING("serving", true),
    /** Is not ready for the balancer but still takes what arrives. */
    DRAINING("draining", true),
    /** Refuses new work and finishes what it has. */
    FINISHING("finishing", false),
    /** Has nothing left to do and may exit. */
    LEFT("left", false);

    private final String word;
    private final boolean takesWork;

    NodePhase(String word, boolean takesWork) {
        this.word = word;
        this.takesWork = takesWork;
    }

    /** Returns the word that stands for this in logs and answers. */
    public String word() {
        return word;
    }

    /** Returns whether a submission that arrives now is taken. */
    public boolean takesWork() {
        return takesWork;
    }
}
