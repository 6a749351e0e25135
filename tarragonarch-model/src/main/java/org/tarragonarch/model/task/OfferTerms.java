package org.tarragonarch.model.task;

/** Under which condition a holder takes a job that it is offered. */
public enum OfferTerms {
    /** The holder starts the whole job at once, or gives it back without having started any of it. */
    AT_ONCE(Verdict.NOT_AT_ONCE) {
        @Override
        public boolean permits(boolean startsAtOnce, boolean admissible) {
            return startsAtOnce && admissible;
        }
    },
    /** The holder may let the job wait as long as it should be answered in time. */
    MAY_WAIT(Verdict.DECLINED) {
        @Override
        public boolean permits(boolean startsAtOnce, boolean admissible) {
            return admissible;
        }
    };

    private final Verdict refusal;

    OfferTerms(Verdict refusal) {
        this.refusal = refusal;
    }

    /**
     * Returns whether a holder takes a job under these terms.
     *
     * @param startsAtOnce whether there is room for the whole job now
     * @param admissible whether the job is worth taking after the wait that it would have
     */
    public abstract boolean permits(boolean startsAtOnce, boolean admissible);

    /** Returns the verdict on a job that a holder does not take under these terms. */
    public Verdict refusal() {
        return refusal;
    }
}
