package org.tarragonarch.core.share;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.tarragonarch.model.share.ShareId;
import org.testng.annotations.Test;

public final class LimitWatchTest {
    private static ShareState state(boolean isLimited) {
        return new ShareState(new ShareId("board", 2), 7_000, 1_000, 1_000, 1_000, isLimited ? 500 : 0);
    }

    /** Guards against two log lines for each start of a share whose use is close to its allotment. */
    @Test
    public void testUpdate_useAroundAllotment() {
        LimitWatch watch = new LimitWatch();
        for (long now = 0; now < 10_000; now += 100) {
            assertEquals(watch.update(state(now % 200 == 0), now), Optional.empty());
        }
    }

    @Test
    public void testUpdate_limitedThenUnlimited() {
        LimitWatch watch = new LimitWatch();
        watch.update(state(false), 0);
        assertEquals(watch.update(state(true), 200), Optional.empty());
        assertEquals(watch.update(state(true), 300), Optional.of(true));
        assertEquals(watch.update(state(false), 1_200), Optional.empty());
        assertEquals(watch.update(state(false), 1_300), Optional.of(false));
    }
}
