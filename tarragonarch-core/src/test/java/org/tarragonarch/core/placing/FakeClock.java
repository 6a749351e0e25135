package org.tarragonarch.core.placing;

/** The steady clock of a fake endpoint, which may be slow. */
final class FakeClock {
    private static final long FIRST_MILLIS = 77_000;

    private final VirtualTimers timers;
    private double rate = 1;
    private long setAtMillis;
    private long setToMillis;

    FakeClock(VirtualTimers timers) {
        this.timers = timers;
        this.setToMillis = FIRST_MILLIS + timers.nowMillis();
        this.setAtMillis = timers.nowMillis();
    }

    long nowMillis() {
        return setToMillis + (long) Math.floor((timers.nowMillis() - setAtMillis) * rate);
    }

    /** Sets how fast the clock advances from now on, as a multiple of the true rate. */
    void setRate(double multiple) {
        set(nowMillis());
        rate = multiple;
    }

    /** Sets the clock, as a restart of its machine does. */
    void set(long millis) {
        setAtMillis = timers.nowMillis();
        setToMillis = millis;
    }

    /** Returns the true time until the clock shows the given value, in milliseconds. */
    long trueMillisUntil(long millis) {
        return (long) Math.ceil((millis - nowMillis()) / rate);
    }
}
