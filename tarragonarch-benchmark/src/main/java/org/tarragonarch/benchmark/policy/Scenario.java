package org.tarragonarch.benchmark.policy;

/**
 * A scenario in which policies are compared.
 *
 * @param name the name in the printed tables
 * @param load the offered work as a fraction of capacity
 * @param burstLoad the load in one second of every five; equal to {@code load} without bursts
 * @param declaredFactor the declared run time as a multiple of the actual one
 * @param stragglerShare the fraction of tasks that run eight times as long as others
 * @param floodingTeam whether one of three teams offers most of the work
 * @param fault the fault to inject
 */
record Scenario(
        String name,
        double load,
        double burstLoad,
        double declaredFactor,
        double stragglerShare,
        boolean floodingTeam,
        Fault fault) {
    /** A fault in the middle of a run. */
    enum Fault {
        /** No fault. */
        NONE,
        /** One endpoint fails every task after a millisecond. */
        BLACK_HOLE,
        /** One node is paused for ten seconds. */
        FROZEN_NODE,
        /** Half of all open jobs are cancelled at the same time. */
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

    Scenario withStragglers(double share) {
        return new Scenario(name, load, burstLoad, declaredFactor, share, floodingTeam, fault);
    }

    Scenario withFloodingTeam() {
        return new Scenario(name, load, burstLoad, declaredFactor, stragglerShare, true, fault);
    }

    Scenario withFault(Fault injected) {
        return new Scenario(name, load, burstLoad, declaredFactor, stragglerShare, floodingTeam, injected);
    }
}
