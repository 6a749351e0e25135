package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Settings that cannot be used; names every mistake at once. */
public final class SettingsException extends StepException {
    private static final long serialVersionUID = 1L;

    private final ImmutableList<Mistake> mistakes;

    /** Creates an error that names these mistakes. */
    public SettingsException(String file, ImmutableList<Mistake> mistakes) {
        super(Step.CONFIGURE, file, mistakes.size() + " mistake(s); the first: " + mistakes.get(0));
        this.mistakes = mistakes;
    }

    /** Returns the mistakes, in the order of files and lines. */
    public ImmutableList<Mistake> mistakes() {
        return mistakes;
    }
}
