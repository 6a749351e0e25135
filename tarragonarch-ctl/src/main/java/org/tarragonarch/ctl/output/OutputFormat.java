package org.tarragonarch.ctl.output;

/** How results are printed. */
public enum OutputFormat {
    /** Aligned tables and sentences. */
    TEXT("text"),
    /** One JSON value. */
    JSON("json");

    private final String word;

    OutputFormat(String word) {
        this.word = word;
    }

    /** Returns the word that the command line takes for this. */
    @Override
    public String toString() {
        return word;
    }
}
