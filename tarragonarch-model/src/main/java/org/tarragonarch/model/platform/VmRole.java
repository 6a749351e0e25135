package org.tarragonarch.model.platform;

/** What a VM in the platform's list runs. */
public enum VmRole {
    /** An entry node. */
    ENTRY("entry"),
    /** An endpoint, which runs tasks. */
    ENDPOINT("endpoint");

    private final String word;

    VmRole(String word) {
        this.word = word;
    }

    /** Returns the word for this role in the platform's list. */
    public String word() {
        return word;
    }
}
