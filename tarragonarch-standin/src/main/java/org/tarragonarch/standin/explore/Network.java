package org.tarragonarch.standin.explore;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** The network: which directed links are cut, and the delay of messages over the others. */
public final class Network {
    private static final long MIN_DELAY_NANOS = 200_000;
    private static final int DELAY_SPREAD_NANOS = 1_000_000;

    private final Set<Link> cuts = new HashSet<>();
    private final Random random;

    Network(Random random) {
        this.random = random;
    }

    /** Cuts the link in one direction. */
    public void cut(String from, String to) {
        cuts.add(new Link(from, to));
    }

    /** Cuts the link in both directions. */
    public void cutBoth(String one, String other) {
        cut(one, other);
        cut(other, one);
    }

    /** Heals the link in both directions. */
    public void heal(String one, String other) {
        cuts.remove(new Link(one, other));
        cuts.remove(new Link(other, one));
    }

    /** Heals every link. */
    public void healAll() {
        cuts.clear();
    }

    boolean isOpen(String from, String to) {
        return !cuts.contains(new Link(from, to));
    }

    long nextDelayNanos() {
        return MIN_DELAY_NANOS + random.nextInt(DELAY_SPREAD_NANOS);
    }

    private record Link(String from, String to) {}
}
