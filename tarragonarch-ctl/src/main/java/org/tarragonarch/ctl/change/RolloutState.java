package org.tarragonarch.ctl.change;

/** How far a version has come in one failure domain. */
public enum RolloutState {
    /** Every node of the domain has it in force. */
    IN_FORCE("in force"),
    /** Some node of the domain still has an older version in force. */
    NOT_YET("not yet"),
    /** Some node of the domain cannot be reached, and no other says that it has an older version. */
    CANNOT_BE_REACHED("cannot be reached");

    private final String words;

    RolloutState(String words) {
        this.words = words;
    }

    /** Returns the words that stand for this in output. */
    public String words() {
        return words;
    }
}
