package org.tarragonarch.standin.scenario;

/** Thrown when a line is not a statement of the scenario language; the message names the line. */
public final class ScenarioSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(int line, String message) {
        super("line " + line + ": " + message);
    }
}
