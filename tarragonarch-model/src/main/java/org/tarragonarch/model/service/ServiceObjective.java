package org.tarragonarch.model.service;

/** The objective that a service favours where response time and the number of messages conflict. */
public enum ServiceObjective {
    /** Sends more messages to answer sooner, for services whose callers wait for a page. */
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
    /** Waits rather than sends a message that may be refused, since every message costs capacity. */
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

    /** Returns the word for this objective in settings. */
    public String word() {
        return word;
    }

    /** Returns whether a stop message is sent for a started task of a cancelled submission. */
    public abstract boolean stopsStartedTasks();

    /** Returns whether a task is sent to another failure domain, rather than waits, while its own is full. */
    public abstract boolean spillsWhenFull();

    /** Returns how many slots of an endpoint must appear free besides the one that a node borrows from its peers. */
    public abstract int slotsLeftWhenBorrowing();

    /** Returns the fraction of the risky sends that may be refused before fewer of them are made. */
    public abstract double maxRefusedFractionOfRiskySends();
}
