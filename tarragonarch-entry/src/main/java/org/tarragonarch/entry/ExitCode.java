package org.tarragonarch.entry;

/** The exit codes of the daemon, which its help states. */
final class ExitCode {
    static final int OK = 0;
    static final int FAILURE = 1;
    static final int USAGE = 2;
    static final int PORT_TAKEN = 3;

    private ExitCode() {}
}
