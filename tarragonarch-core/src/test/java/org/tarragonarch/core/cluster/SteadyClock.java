package org.tarragonarch.core.cluster;

/** What the steady clock of a node does while the node is suspended. */
enum SteadyClock {
    /** The clock stops, as with a suspended VM. */
    STOPS {
        @Override
        long lostMillis(long suspendedMillis) {
            return suspendedMillis;
        }
    },
    /** The clock goes on, as with a process that was stopped by a signal. */
    GOES_ON {
        @Override
        long lostMillis(long suspendedMillis) {
            return 0;
        }
    };

    /** Returns the time that the clock misses, in milliseconds. */
    abstract long lostMillis(long suspendedMillis);
}
