package org.tarragonarch.model.service;

/** The measure that a service favours where response time and messages pull apart. */
public enum ServiceObjective {
    /** Callers wait at a page: spend messages to answer sooner. */
    RESPONSE_TIME("response-time") {
        @Override
        public boolean stopsStartedTasks() {
            return true;
        }

        @Override
        public boolean spillsWhenFull() {
            return true;
        }

        @Override
        public int slotsLeftWhenBorrowing() {
            return 2;
        }

        @Override
        public double maxRefusedFractionOfRiskySends() {
            return 0.5;
        }
    },
    /** Every message costs capacity: wait rather than send one that may be refused. */
    FEW_MESSAGES("few-messages") {
        @Override
        public boolean stopsStartedTasks() {
            return false;
        }

        @Override
        public boolean spillsWhenFull() {
            return false;
        }

        @Override
        public int slotsLeftWhenBorrowing() {
            return 3;
        }

        @Override
        public double maxRefusedFractionOfRiskySends() {
            return 0.05;
        }
    };

    private final String word;

    ServiceObjective(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in settings. */
    public String word() {
        return word;
    }

    /** Returns whether a started task of a cancelled submission is worth a stop message. */
    public abstract boolean stopsStartedTasks();

    /** Returns whether a task goes to another failure domain while the own one is full, rather than wait. */
    public abstract boolean spillsWhenFull();

    /** Returns how many slots of an endpoint must seem free beyond the one that a node borrows from its peers. */
    public abstract int slotsLeftWhenBorrowing();

    /** Returns what part of the sends that may well be refused may be, before fewer such sends are made. */
    public abstract double maxRefusedFractionOfRiskySends();
}
