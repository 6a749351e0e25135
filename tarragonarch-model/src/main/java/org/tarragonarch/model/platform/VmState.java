package org.tarragonarch.model.platform;

/** The state of a VM in the platform's list, which may be out of date. */
public enum VmState {
    /** The VM is up according to the list. */
    LIVE("live"),
    /** The VM is about to be removed and must get no new work. */
    LEAVING("leaving");

    private final String word;

    VmState(String word) {
        this.word = word;
    }

    /** Returns the word for this state in the platform's list. */
    public String word() {
        return word;
    }
}
