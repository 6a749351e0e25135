package org.tarragonarch.model.platform;

/** What the platform's list says of a VM; the list lags behind reality. */
public enum VmState {
    /** The VM is up as far as the list knows. */
    LIVE("live"),
    /** The VM is about to go and must get no new work. */
    LEAVING("leaving");

    private final String word;

    VmState(String word) {
        this.word = word;
    }

    /** Returns the word that the platform's list uses. */
    public String word() {
        return word;
    }
}
