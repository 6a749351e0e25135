package org.tarragonarch.model.service;

/** What an operator may do. */
public enum OperatorRole {
    /** May read everything and change nothing. */
    READER("reader") {
        @Override
        public boolean mayChange() {
            return false;
        }
    },
    /** May also apply configurations and drain nodes and endpoints. */
    CHANGER("changer") {
        @Override
        public boolean mayChange() {
            return true;
        }
    };

    private final String word;

    OperatorRole(String word) {
        this.word = word;
    }

    /** Returns the word for this role in settings. */
    public String word() {
        return word;
    }

    /** Returns whether the operator may make changes. */
    public abstract boolean mayChange();
}
