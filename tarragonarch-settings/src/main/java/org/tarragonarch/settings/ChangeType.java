package org.tarragonarch.settings;

/** The way in which a change affects a definition. */
public enum ChangeType {
    /** The definition is new. */
    ADDED("added"),
    /** The definition no longer exists. */
    REMOVED("removed"),
    /** Some keys of the definition differ. */
    CHANGED("changed");

    private final String word;

    ChangeType(String word) {
        this.word = word;
    }

    /** Returns the word printed for this type. */
    public String word() {
        return word;
    }
}
