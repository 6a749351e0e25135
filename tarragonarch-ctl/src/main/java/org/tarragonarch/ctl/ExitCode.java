package org.tarragonarch.ctl;

/** How a run of the operator program ended; the numbers are stated in {@code --help}. */
public enum ExitCode {
    /** All that was asked for was done. */
    OK(0),
    /** Something failed; the message says what, at which step and with which peer. */
    FAILED(1),
    /** The command line is wrong, or settings hold mistakes. */
    USAGE(2),
    /** Another operator's change was accepted first. */
    CONFLICT(3),
    /** The change was accepted, and is not in force everywhere in the time allowed. */
    NOT_IN_FORCE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the process's exit status. */
    public int number() {
        return number;
    }
}
