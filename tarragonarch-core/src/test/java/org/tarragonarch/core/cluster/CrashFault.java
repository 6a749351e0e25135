package org.tarragonarch.core.cluster;

import org.tarragonarch.core.placing.FakeOrders;

/** A fault of endpoints, holders or clients in a series of crashes. */
enum CrashFault {
    /** An endpoint crashes. */
    CRASH {
        @Override
        String inject(CrashFixture fixture) {
            return fixture.crash(fixture.drawSite(), fixture.random);
        }
    },
    /** Several endpoints crash at about the same time. */
    CRASHES {
        @Override
        String inject(CrashFixture fixture) {
            StringBuilder crashed = new StringBuilder();
            for (int count = 2 + fixture.random.nextInt(2); count > 0; count--) {
                crashed.append(fixture.crash(fixture.drawSite(), fixture.random))
                        .append("; ");
            }
            return crashed.toString();
        }
    },
    /** An endpoint crashes while no node reaches it. */
    CRASH_BEHIND_CUT {
        @Override
        String inject(CrashFixture fixture) {
            return fixture.crashBehindCut(fixture.drawSite());
        }
    },
    /** An endpoint is unreachable and runs on. */
    CUT_OFF {
        @Override
        String inject(CrashFixture fixture) {
            CrashSite site = fixture.drawSite();
            long millis = fixture.faults.drawMillis(50, 2_500);
            fixture.cutOff(site.id(), millis);
            return site.id() + " for " + millis;
        }
    },
    /** The answers of an endpoint are lost. */
    ANSWERS_LOST {
        @Override
        String inject(CrashFixture fixture) {
            CrashSite site = fixture.drawSite();
            long millis = fixture.faults.drawMillis(50, 1_500);
            fixture.setFault(site.id(), FakeOrders.Fault.ANSWER_LOST, millis);
            return site.id() + " for " + millis;
        }
    },
    /** The lists of an endpoint arrive late. */
    LISTS_LATE {
        @Override
        String inject(CrashFixture fixture) {
            CrashSite site = fixture.drawSite();
            long delay = fixture.faults.drawMillis(10, 140);
            long millis = fixture.faults.drawMillis(100, 2_500);
            fixture.faults.cluster.orders.setListMillis(site.id(), delay);
            fixture.faults.timers().schedule(millis, () -> fixture.faults.cluster.orders.clearListMillis(site.id()));
            return site.id() + " by " + delay + " for " + millis;
        }
    },
    /** The start time of an endpoint becomes known, so that its ends are listed again. */
    START_REPORTED {
        @Override
        String inject(CrashFixture fixture) {
            return fixture.reportStart(fixture.drawSite());
        }
    },
    /** One node does not reach one endpoint. */
    NODE_CUT_OFF {
        @Override
        String inject(CrashFixture fixture) {
            return SeriesFault.ENDPOINT_CUT_OFF.inject(fixture.faults);
        }
    },
    /** A node, perhaps the holder, is killed. */
    NODE_KILLED {
        @Override
        String inject(CrashFixture fixture) {
            return SeriesFault.NODE_KILLED.inject(fixture.faults);
        }
    },
    /** A node, perhaps the holder, releases its shards and ends. */
    NODE_STOPPED {
        @Override
        String inject(CrashFixture fixture) {
            return SeriesFault.NODE_STOPPED.inject(fixture.faults);
        }
    },
    /** Two nodes cannot reach each other. */
    NODES_APART {
        @Override
        String inject(CrashFixture fixture) {
            return SeriesFault.NODES_APART.inject(fixture.faults);
        }
    };

    /** Makes the fault happen to what is drawn, and describes it. */
    abstract String inject(CrashFixture fixture);
}
