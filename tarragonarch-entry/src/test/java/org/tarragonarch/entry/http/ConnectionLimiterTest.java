package org.tarragonarch.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.NodeId;
import org.testng.annotations.Test;

public final class ConnectionLimiterTest {
    private static final String GAUGE_PREFIX = "port=\"caller\"} ";

    /** Guards against a gauge that keeps an outdated count when two threads open connections at the same time. */
    @Test
    public void testChannelActive_concurrentConnections() {
        try (NodeMetrics metrics = NodeMetrics.create(NodeId.of("hobart-1"))) {
            AtomicInteger opened = new AtomicInteger();
            ConnectionLimiter[] limiter = new ConnectionLimiter[1];
            HttpEvents gaugeEvents = metrics.httpEvents("caller");
            limiter[0] = new ConnectionLimiter(3, new HttpEvents() {
                @Override
                public void connectionOpened() {
                    if (opened.incrementAndGet() == 1) {
                        new EmbeddedChannel(limiter[0]);
                    }
                    gaugeEvents.connectionOpened();
                }

                @Override
                public void connectionClosed() {
                    gaugeEvents.connectionClosed();
                }

                @Override
                public void cut(CutCause cause, String remote) {}
            });
            EmbeddedChannel first = new EmbeddedChannel(limiter[0]);
            assertTrue(metrics.scrape().contains(GAUGE_PREFIX + "2.0"), metrics.scrape());
            first.close();
            assertTrue(metrics.scrape().contains(GAUGE_PREFIX + "1.0"), metrics.scrape());
        }
    }

    @Test
    public void testChannelActive_closesConnectionOverLimit() {
        ConnectionLimiter limiter = new ConnectionLimiter(1, HttpEvents.NONE);
        EmbeddedChannel first = new EmbeddedChannel(limiter);
        EmbeddedChannel second = new EmbeddedChannel(limiter);
        assertTrue(first.isOpen());
        assertFalse(second.isOpen());
        first.close();
        assertEquals(new EmbeddedChannel(limiter).isOpen(), true);
    }
}
