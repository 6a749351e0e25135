package org.tarragonarch.entry;

/** Exit codes of the daemon; the command line help lists them. */
final class ExitCode {
    static final int OK = 0;
    static final int FAILURE = 1;
    static final int USAGE = 2;
    static final int PORT_TAKEN = 3;

    private ExitCode() {}
}
