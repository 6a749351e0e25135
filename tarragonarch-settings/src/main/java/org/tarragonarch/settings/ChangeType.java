package org.tarragonarch.settings;

/** What a change does to a definition. */
public enum ChangeType {
    /** It was not there before. */
    ADDED("added"),
    /** It is gone. */
    REMOVED("removed"),
    /** Some of its keys differ. */
    CHANGED("changed");

    private final String word;

    ChangeType(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in output. */
    public String word() {
        return word;
    }
}
