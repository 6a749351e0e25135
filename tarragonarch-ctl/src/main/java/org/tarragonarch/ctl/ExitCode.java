package org.tarragonarch.ctl;

/** The exit status of the operator program; {@code --help} lists the numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed; the message names the step and the peer. */
    FAILED(1),
    /** The command line is invalid, or settings or configuration files have mistakes. */
    USAGE(2),
    /** Another operator's change was accepted first. */
    CONFLICT(3),
    /** The change was accepted but was not in force everywhere within the timeout. */
    NOT_IN_FORCE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }
}
