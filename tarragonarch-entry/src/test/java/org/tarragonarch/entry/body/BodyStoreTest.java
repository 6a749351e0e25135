package org.tarragonarch.entry.body;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.testng.annotations.Test;

public final class BodyStoreTest {
    private static final SubmissionId FIRST = new SubmissionId(NodeId.of("n"), Incarnation.of(1), 1);
    private static final SubmissionId SECOND = new SubmissionId(NodeId.of("n"), Incarnation.of(1), 2);

    private final BodyStore store = BodyStore.create(10);

    @Test
    public void testBytes_returnToZero() {
        assertTrue(store.put(FIRST, content(4, 3)));
        assertFalse(store.put(SECOND, content(4)));
        assertEquals(store.bytes(), 7);
        store.putResult(new TaskId(FIRST, 0), new byte[20]);
        assertEquals(store.bytes(), 27);
        assertTrue(store.results(FIRST).isEmpty());
        store.putResult(new TaskId(FIRST, 1), new byte[1]);
        assertEquals(store.results(FIRST).orElseThrow().size(), 2);
        store.removeInputs(FIRST);
        assertEquals(store.bytes(), 21);
        store.remove(FIRST);
        store.remove(FIRST);
        store.putResult(new TaskId(FIRST, 0), new byte[5]);
        assertEquals(store.bytes(), 0);
        assertTrue(store.put(SECOND, content(4)));
        store.remove(SECOND);
        assertEquals(store.bytes(), 0);
    }

    // Guards against a second answer for a task that changes the result that a caller receives.
    @Test
    public void testPutResult_firstResultKept() {
        store.put(FIRST, content(1));
        store.putResult(new TaskId(FIRST, 0), new byte[] {1});
        store.putResult(new TaskId(FIRST, 0), new byte[] {2});
        assertEquals(store.results(FIRST).orElseThrow().get(0), new byte[] {1});
        store.remove(FIRST);
    }

    /** Guards against callers that are refused for minutes because stored results fill the store. */
    @Test
    public void testPut_evictsAnsweredResults() {
        BodyStore full = BodyStore.create(10);
        full.put(FIRST, content(1));
        full.putResult(new TaskId(FIRST, 0), new byte[12]);
        assertFalse(full.put(SECOND, content(4)), "not answered yet");
        full.removeInputs(FIRST);
        assertTrue(full.put(SECOND, content(4)));
        assertFalse(full.contains(FIRST));
        assertEquals(full.bytes(), 4);
    }

    private static SubmissionContent content(int... sizes) {
        ImmutableList.Builder<byte[]> inputs = ImmutableList.builder();
        for (int size : sizes) {
            inputs.add(new byte[size]);
        }
        return new SubmissionContent(ServiceName.of("s"), KindName.of("k"), inputs.build());
    }
}
