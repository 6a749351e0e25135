package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Thrown when settings are invalid; holds every mistake. */
public final class SettingsException extends StepException {
    private static final long serialVersionUID = 1L;

    private final ImmutableList<Mistake> mistakes;

    /** Creates an exception for the mistakes, of which there must be at least one. */
    public SettingsException(String file, ImmutableList<Mistake> mistakes) {
        super(Step.CONFIGURE, file, mistakes.size() + " mistake(s); the first: " + mistakes.get(0));
        this.mistakes = mistakes;
    }

    /** Returns the mistakes, sorted by file, line and key. */
    public ImmutableList<Mistake> mistakes() {
        return mistakes;
    }
}
