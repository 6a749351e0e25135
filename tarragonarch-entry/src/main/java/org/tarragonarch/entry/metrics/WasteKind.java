package org.tarragonarch.entry.metrics;

/** The kinds of message that do not contribute to a result but use capacity of the network and its receivers. */
public enum WasteKind {
    /** A task that an endpoint refused without running it. */
    REFUSED_SEND("refused-send"),
    /** A task sent again after its first answer was lost. */
    REPEATED_SEND("repeated-send"),
    /** A health probe of an endpoint. */
    PROBE("probe"),
    /** A report to another node. */
    REPORT("report"),
    /** A stop message to an endpoint for a task whose result is no longer wanted. */
    STOP("stop");

    private final String word;

    WasteKind(String word) {
        this.word = word;
    }

    /** Returns the label value in the metrics. */
    public String word() {
        return word;
    }
}
