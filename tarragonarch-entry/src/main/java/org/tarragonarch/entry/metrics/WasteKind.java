package org.tarragonarch.entry.metrics;

/** The kinds of message that do nothing towards a result; each costs capacity on the way to the endpoints or nodes. */
public enum WasteKind {
    /** A task that an endpoint refused without running it. */
    REFUSED_SEND("refused-send"),
    /** A task sent again after its first answer was lost. */
    REPEATED_SEND("repeated-send"),
    /** A question to an endpoint whether it takes work. */
    PROBE("probe"),
    /** A report to another node. */
    REPORT("report"),
    /** A word to an endpoint that a result is no longer wanted. */
    STOP("stop");

    private final String word;

    WasteKind(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in the metrics. */
    public String word() {
        return word;
    }
}
