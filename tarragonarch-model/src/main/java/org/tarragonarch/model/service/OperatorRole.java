package org.tarragonarch.model.service;

/** What an operator may do. */
public enum OperatorRole {
    /** May look at everything and change nothing. */
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

    /** Returns the word that stands for this in settings. */
    public String word() {
        return word;
    }

    /** Returns whether the operator may change anything. */
    public abstract boolean mayChange();
}
