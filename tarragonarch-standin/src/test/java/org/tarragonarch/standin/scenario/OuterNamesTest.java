package org.tarragonarch.standin.scenario;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import java.util.TreeSet;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.standin.explore.EndpointFault;
import org.testng.annotations.Test;

/** Guards against the rename of a constant that changes a word of the scenario language. */
public final class OuterNamesTest {
    private static final ImmutableList<String> NOTES = ImmutableList.of(
            "late-answer-dropped",
            "send-refused",
            "task-retried",
            "retry-budget-empty",
            "endpoint-quarantined",
            "endpoint-readmitted",
            "endpoint-leaving",
            "endpoint-appeared",
            "endpoint-gone",
            "peer-alive",
            "peer-silent",
            "stale-report-dropped",
            "report-gap",
            "old-configuration-refused",
            "platform-read-failed",
            "claim-reply-lost",
            "claim-lost",
            "slept-past-lease",
            "drain-cut-short");

    @Test
    public void testNextConstant_faults() throws Exception {
        assertWordsCoverConstants(
                EndpointFault.class, ImmutableList.of("none", "fails-all", "cuts-answer-short", "hangs"));
    }

    @Test
    public void testNextConstant_forms() throws Exception {
        assertWordsCoverConstants(SubmissionForm.class, ImmutableList.of("request", "job"));
    }

    @Test
    public void testNextConstant_phases() throws Exception {
        assertWordsCoverConstants(
                NodePhase.class, ImmutableList.of("starting", "serving", "draining", "finishing", "left"));
    }

    @Test
    public void testNextConstant_notes() throws Exception {
        assertWordsCoverConstants(NoteEvent.class, NOTES);
    }

    /** Asserts that every word is accepted and that the words cover all constants. */
    private static <E extends Enum<E>> void assertWordsCoverConstants(Class<E> type, ImmutableList<String> words)
            throws ScenarioSyntaxException {
        Set<E> read = new TreeSet<>();
        for (String word : words) {
            read.add(new LineTokens(1, word).nextConstant(type));
        }
        assertEquals(read, ImmutableSet.copyOf(type.getEnumConstants()));
    }
}
