package org.tarragonarch.ctl.output;

/** The format in which results are printed. */
public enum OutputFormat {
    /** Aligned tables and plain text. */
    TEXT("text"),
    /** One JSON value. */
    JSON("json");

    private final String word;

    OutputFormat(String word) {
        this.word = word;
    }

    /** Returns the word used on the command line. */
    @Override
    public String toString() {
        return word;
    }
}
