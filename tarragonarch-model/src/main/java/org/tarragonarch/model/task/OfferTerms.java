package org.tarragonarch.model.task;

/** The condition under which a holder may accept an offered job. */
public enum OfferTerms {
    /** The holder starts the whole job at once, or declines it without having started any of it. */
    AT_ONCE(Verdict.NOT_AT_ONCE) {
        @Override
        public boolean permits(boolean startsAtOnce, boolean admissible) {
            return startsAtOnce && admissible;
        }
    },
    /** The holder may let the job wait as long as it can be expected to be answered in time. */
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
     * Returns whether a holder may accept a job under these terms.
     *
     * @param startsAtOnce whether there is free capacity for the whole job now
     * @param admissible whether the job can be expected in time after the wait that it would have
     */
    public abstract boolean permits(boolean startsAtOnce, boolean admissible);

    /** Returns the verdict on a job that a holder does not accept under these terms. */
    public Verdict refusal() {
        return refusal;
    }
}
