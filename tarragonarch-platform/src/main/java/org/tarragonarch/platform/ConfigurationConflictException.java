package org.tarragonarch.platform;

import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.platform.ConfigurationRow;

/** Thrown when a configuration change conflicts with another change that was accepted first. */
public final class ConfigurationConflictException extends StepException {
    private static final long serialVersionUID = 1L;

    private final transient ConfigurationRow accepted;

    /** Creates an exception that describes the change accepted first. */
    public ConfigurationConflictException(ConfigurationRow accepted) {
        super(
                Step.CONFIGURE,
                "table service",
                "version " + accepted.version() + " was accepted first: change " + accepted.change() + " by "
                        + accepted.operator() + " at " + accepted.when());
        this.accepted = accepted;
    }

    /** Returns the row that was accepted first. */
    public ConfigurationRow accepted() {
        return accepted;
    }
}
