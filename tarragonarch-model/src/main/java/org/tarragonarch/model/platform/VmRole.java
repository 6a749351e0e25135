package org.tarragonarch.model.platform;

/** What a VM of the platform's list is for. */
public enum VmRole {
    /** Runs an entry node. */
    ENTRY("entry"),
    /** Runs an endpoint, a worker that runs tasks. */
    ENDPOINT("endpoint");

    private final String word;

    VmRole(String word) {
        this.word = word;
    }

    /** Returns the word that the platform's list uses. */
    public String word() {
        return word;
    }
}
