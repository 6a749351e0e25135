package org.tarragonarch.standin.scenario;

/** A line that is no statement of the scenario language. */
public final class ScenarioSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(int line, String message) {
        super("line " + line + ": " + message);
    }
}
