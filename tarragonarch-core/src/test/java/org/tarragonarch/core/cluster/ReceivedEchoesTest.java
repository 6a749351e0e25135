package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.StatusNumber;
import org.testng.annotations.Test;

public final class ReceivedEchoesTest {
    private static final NodeId SELF = NodeId.of("a");
    private static final NodeId ORIGIN = NodeId.of("b");

    private final VirtualTimers timers = new VirtualTimers();
    private final List<Long> stops = new ArrayList<>();
    private long wallOffsetMillis = 5_000;
    private final ReceivedEchoes echoes = new ReceivedEchoes(SELF, timers, this::wallMillis, new ShardObserver() {
        @Override
        public void clockStoodStill(long millis) {
            stops.add(millis);
        }
    });

    private long wallMillis() {
        return timers.nowMillis() + wallOffsetMillis;
    }

    private boolean hasAuthority(NodeId origin) {
        return echoes.endsAtMillis(origin) >= timers.nowMillis();
    }

    /** Guards against own tasks that start after a pause before the closes of clients' connections are read. */
    @Test
    public void testEndsAtMillis_ownJobsAfterPause() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.reviewed();
        assertTrue(test.hasAuthority(SELF));
        test.timers.advance(ReceivedEchoes.AUTHORITY_MILLIS + 1);
        assertFalse(test.hasAuthority(SELF));
        test.echoes.reviewed();
        assertFalse(test.hasAuthority(SELF));
        test.timers.advance(100);
        test.echoes.reviewed();
        assertTrue(test.hasAuthority(SELF));
    }

    /** Guards against own tasks that start after a pause in which the steady clock stood still. */
    @Test
    public void testEndsAtMillis_ownJobsAfterClockStoodStill() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.reviewed();
        test.echoes.clockStoodStill(test.timers.nowMillis(), 900);
        assertFalse(test.hasAuthority(SELF));
        test.timers.advance(100);
        test.echoes.reviewed();
        assertFalse(test.hasAuthority(SELF));
        test.timers.advance(100);
        test.echoes.reviewed();
        assertTrue(test.hasAuthority(SELF));
    }

    @Test
    public void testEndsAtMillis_nothingReturned() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.next();
        assertFalse(test.hasAuthority(ORIGIN));
    }

    /** Guards against an authority that lasts from the arrival of an old message. */
    @Test
    public void testEndsAtMillis_countsFromTheSendingOfTheStatus() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        StatusNumber number = test.echoes.next();
        long sentAt = test.timers.nowMillis();
        test.timers.advance(400);
        test.echoes.next();
        test.echoes.received(ORIGIN, number);
        assertEquals(test.echoes.endsAtMillis(ORIGIN), sentAt + ReceivedEchoes.AUTHORITY_MILLIS);
    }

    /** Guards against an authority that a message from before a suspension restores. */
    @Test
    public void testReceived_statusIsTooOld() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        StatusNumber number = test.echoes.next();
        test.timers.advance(ReceivedEchoes.AUTHORITY_MILLIS + 1);
        test.echoes.received(ORIGIN, number);
        assertFalse(test.hasAuthority(ORIGIN));
    }

    /** Guards against a status of an earlier process on the same VM that counts as one of this process. */
    @Test
    public void testReceived_unknownNumber() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.next();
        test.echoes.received(ORIGIN, StatusNumber.of(4_000));
        test.echoes.received(ORIGIN, StatusNumber.NONE);
        assertFalse(test.hasAuthority(ORIGIN));
    }

    /** Guards against an authority that outlasts a suspension in which the steady clock stood still. */
    @Test
    public void testClockStoodStill_authorityEndsUntilNextEcho() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        StatusNumber before = test.echoes.next();
        test.echoes.received(ORIGIN, before);
        test.echoes.clockStoodStill(test.timers.nowMillis(), 900);
        test.echoes.received(ORIGIN, before);
        assertFalse(test.hasAuthority(ORIGIN));
        test.echoes.received(ORIGIN, test.echoes.next());
        assertTrue(test.hasAuthority(ORIGIN));
    }

    /** Guards against an authority that ends again with each endpoint that shows the same suspension. */
    @Test
    public void testClockStoodStill_seenByTwoEndpoints() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        long before = test.timers.nowMillis();
        test.timers.advance(10);
        test.echoes.clockStoodStill(before, 900);
        test.timers.advance(10);
        test.echoes.received(ORIGIN, test.echoes.next());
        test.echoes.clockStoodStill(before, 910);
        assertTrue(test.hasAuthority(ORIGIN));
        assertEquals(test.stops, List.of(900L));
    }

    /** Guards against a second suspension that passes for the first one. */
    @Test
    public void testClockStoodStill_twice() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.clockStoodStill(test.timers.nowMillis(), 900);
        test.timers.advance(10);
        test.echoes.received(ORIGIN, test.echoes.next());
        test.timers.advance(10);
        test.echoes.clockStoodStill(test.timers.nowMillis() - 5, 800);
        assertFalse(test.hasAuthority(ORIGIN));
    }

    /** Guards against an authority that outlasts a suspension before any endpoint has answered again. */
    @Test
    public void testEndsAtMillis_timeOfDayShowsSuspension() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.received(ORIGIN, test.echoes.next());
        test.wallOffsetMillis += 900;
        assertFalse(test.hasAuthority(ORIGIN));
        assertFalse(test.hasAuthority(SELF));
        test.echoes.clockStoodStill(test.timers.nowMillis() - 10, 880);
        assertEquals(test.stops, List.of(900L));
        test.echoes.received(ORIGIN, test.echoes.next());
        assertTrue(test.hasAuthority(ORIGIN));
    }

    /** Guards against runs that are stopped after a suspension so short that no peer has missed this node. */
    @Test
    public void testClockStoodStill_shorterThanAuthority() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        long sentAt = test.timers.nowMillis();
        test.echoes.received(ORIGIN, test.echoes.next());
        test.timers.advance(10);
        test.echoes.clockStoodStill(sentAt, 150);
        assertEquals(test.echoes.endsAtMillis(ORIGIN), sentAt + ReceivedEchoes.AUTHORITY_MILLIS - 150);
    }

    /** Guards against short suspensions that add up unnoticed. */
    @Test
    public void testEndsAtMillis_shortSuspensionsInSeries() {
        ReceivedEchoesTest test = new ReceivedEchoesTest();
        test.echoes.received(ORIGIN, test.echoes.next());
        for (int stop = 0; stop < 8; stop++) {
            test.wallOffsetMillis += 90;
            test.timers.advance(1);
            test.echoes.reviewed();
        }
        assertFalse(test.hasAuthority(ORIGIN));
    }
}
