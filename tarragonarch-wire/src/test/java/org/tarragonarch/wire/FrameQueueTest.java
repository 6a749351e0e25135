package org.tarragonarch.wire;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

public final class FrameQueueTest {
    private static final EncodedFrame FIRST_REPORT = EncodedFrame.of(Samples.reportFrame(Samples.HOBART, 1));
    private static final EncodedFrame SECOND_REPORT = EncodedFrame.of(Samples.reportFrame(Samples.HOBART, 2));
    private static final EncodedFrame REQUEST = EncodedFrame.of(Samples.request(1));

    @Test
    public void testOffer_fullQueueDropsOldestReport() {
        FrameQueue queue = new FrameQueue(3, 1_000);
        queue.offer(REQUEST);
        queue.offer(FIRST_REPORT);
        queue.offer(SECOND_REPORT);
        assertEquals(queue.offer(REQUEST), ImmutableList.of(FIRST_REPORT));
        assertEquals(queue.drain(), ImmutableList.of(REQUEST, SECOND_REPORT, REQUEST));
    }

    @Test
    public void testOffer_requestsAreNotDroppedForReports() {
        FrameQueue queue = new FrameQueue(2, 1_000);
        queue.offer(REQUEST);
        queue.offer(REQUEST);
        assertEquals(queue.offer(FIRST_REPORT), ImmutableList.of(FIRST_REPORT));
    }

    @Test
    public void testOffer_bytesAreBounded() {
        FrameQueue queue = new FrameQueue(100, REQUEST.bytes().length + FIRST_REPORT.bytes().length);
        queue.offer(FIRST_REPORT);
        queue.offer(REQUEST);
        assertEquals(queue.offer(REQUEST), ImmutableList.of(FIRST_REPORT, REQUEST));
        queue.poll();
        assertEquals(queue.offer(REQUEST), ImmutableList.of());
    }
}
