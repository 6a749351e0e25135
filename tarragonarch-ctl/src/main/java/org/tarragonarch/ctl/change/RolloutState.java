package org.tarragonarch.ctl.change;

/** The state of a rollout in a failure domain. */
public enum RolloutState {
    /** Every node of the domain has the version or a newer one in force. */
    IN_FORCE("in force"),
    /** Some node of the domain still has an older version in force. */
    NOT_YET("not yet"),
    /** Some node of the domain cannot be reached, and every reachable one has the version in force. */
    CANNOT_BE_REACHED("cannot be reached");

    private final String words;

    RolloutState(String words) {
        this.words = words;
    }

    /** Returns the words printed for this state. */
    public String words() {
        return words;
    }
}
