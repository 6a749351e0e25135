package org.tarragonarch.benchmark.policy;

/**
 * One situation in which policies are compared.
 *
 * @param name what it is called in tables
 * @param load offered work over capacity
 * @param burstLoad offered work over capacity in one second of every five; the same as {@code load} for none
 * @param declaredFactor what is declared as run time over the truth
 * @param stragglerShare the part of tasks that run eight times as long as their like
 * @param floodingTeam whether one of three teams offers most of the work
 * @param fault what goes wrong
 */
record Scenario(
        String name,
        double load,
        double burstLoad,
        double declaredFactor,
        double stragglerShare,
        boolean floodingTeam,
        Fault fault) {
    /** What goes wrong in the middle of a run. */
    enum Fault {
        /** Nothing. */
        NONE,
        /** One worker fails every task within a millisecond. */
        BLACK_HOLE,
        /** One node is paused for ten seconds. */
        FROZEN_NODE,
        /** Half of all jobs that have no answer are cancelled at once. */
        CANCEL_WAVE
    }

    static Scenario load(String name, double load) {
        return new Scenario(name, load, load, 1, 0, false, Fault.NONE);
    }

    static Scenario bursts(String name, double load, double burstLoad) {
        return new Scenario(name, load, burstLoad, 1, 0, false, Fault.NONE);
    }

    Scenario withDeclaredFactor(double factor) {
        return new Scenario(name, load, burstLoad, factor, stragglerShare, floodingTeam, fault);
    }

    Scenario withStragglers(double part) {
        return new Scenario(name, load, burstLoad, declaredFactor, part, floodingTeam, fault);
    }

    Scenario withFloodingTeam() {
        return new Scenario(name, load, burstLoad, declaredFactor, stragglerShare, true, fault);
    }

    Scenario withFault(Fault wrong) {
        return new Scenario(name, load, burstLoad, declaredFactor, stragglerShare, floodingTeam, wrong);
    }
}
