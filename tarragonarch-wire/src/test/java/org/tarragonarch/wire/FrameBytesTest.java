package org.tarragonarch.wire;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.BaseEncoding;
import com.google.common.io.Resources;
import java.io.IOException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** Compares encoded frames with recorded bytes of this protocol version. */
public final class FrameBytesTest {
    private static final String RESOURCE = "/outer-names/frames.txt";
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    private static final ImmutableList<String> PHASES =
            ImmutableList.of("starting", "serving", "draining", "finishing", "left");
    private static final ImmutableList<String> STEPS = ImmutableList.of(
            "read",
            "authenticate",
            "admit",
            "claim",
            "queue",
            "send",
            "run",
            "collect",
            "peer",
            "platform",
            "configure",
            "lifecycle");
    private static final ImmutableList<String> CODES = ImmutableList.of(
            "malformed",
            "unauthenticated",
            "forbidden",
            "unknown-service",
            "unknown-kind",
            "over-limit",
            "key-reused",
            "queue-full",
            "over-quota",
            "would-miss-deadline",
            "expired-in-queue",
            "no-endpoint",
            "claim-unavailable",
            "draining",
            "not-ready",
            "cancelled",
            "task-failed",
            "answer-lost",
            "deadline-passed",
            "cancelled-while-running",
            "held-elsewhere",
            "shut-down");

    /** Guards against a reordered field or enum constant, or a changed type number, which other nodes would misread. */
    @Test
    public void testEncode_matchesRecordedBytes() throws Exception {
        ImmutableMap.Builder<String, String> encoded = ImmutableMap.builder();
        FilledFrames.byLabel().forEach((label, frame) -> encoded.put(label, HEX.encode(FrameCodec.encode(frame))));
        assertEquals(encoded.build(), expected());
    }

    /** Guards against bytes of other nodes that are decoded to other values than were encoded. */
    @Test
    public void testDecode_recordedBytes() throws Exception {
        ImmutableMap.Builder<String, Frame> decoded = ImmutableMap.builder();
        for (Map.Entry<String, String> line : expected().entrySet()) {
            byte[] bytes = HEX.decode(line.getValue());
            decoded.put(line.getKey(), FrameCodec.decode("peer", Optional.of(FilledFrames.SENDER), bytes));
        }
        assertEquals(decoded.build(), FilledFrames.byLabel());
    }

    /** Guards against a frame type without recorded bytes, and against a changed type number. */
    @Test
    public void testNumber_everyTypeIsRecorded() throws Exception {
        ImmutableSet<Integer> numbers = IntStream.rangeClosed(1, 19).boxed().collect(ImmutableSet.toImmutableSet());
        ImmutableSet.Builder<Integer> covered = ImmutableSet.builder();
        for (String hex : expected().values()) {
            covered.add((int) HEX.decode(hex)[0]);
        }
        assertEquals(covered.build(), numbers);
        assertEquals(
                Arrays.stream(FrameType.values()).map(FrameType::number).collect(ImmutableSet.toImmutableSet()),
                numbers);
    }

    /** Guards against an enum constant added without recorded bytes. */
    @Test
    public void testOrdinal_numberOfConstants() {
        assertEquals(Verdict.values().length, 8);
        assertEquals(OfferTerms.values().length, 2);
        assertEquals(AnswerOutcome.values().length, 3);
    }

    /** Guards against a phase whose ordinal on the wire changed. */
    @Test
    public void testEncode_phaseOrdinals() throws Exception {
        assertEquals(NodePhase.values().length, PHASES.size());
        for (NodePhase phase : NodePhase.values()) {
            byte[] bytes = FrameCodec.encode(FilledFrames.report(phase));
            assertEquals(PHASES.get(bytes[2]), phase.word());
        }
    }

    /** Guards against a problem code whose ordinal on the wire changed. */
    @Test
    public void testEncode_problemCodeOrdinals() throws Exception {
        assertEquals(ProblemCode.values().length, CODES.size());
        for (ProblemCode code : ProblemCode.values()) {
            byte[] bytes = FrameCodec.encode(FilledFrames.problem(code, Step.RUN));
            assertEquals(CODES.get(bytes[3]), code.word());
        }
    }

    /** Guards against a step whose ordinal on the wire changed. */
    @Test
    public void testEncode_stepOrdinals() throws Exception {
        assertEquals(Step.values().length, STEPS.size());
        for (Step step : Step.values()) {
            byte[] bytes = FrameCodec.encode(FilledFrames.problem(ProblemCode.TASK_FAILED, step));
            assertEquals(STEPS.get(bytes[4]), step.word());
        }
    }

    /** Returns the recorded bytes in hexadecimal by label. */
    private static ImmutableMap<String, String> expected() throws IOException {
        URL resource = FrameBytesTest.class.getResource(RESOURCE);
        ImmutableMap.Builder<String, String> lines = ImmutableMap.builder();
        for (String line : Resources.readLines(resource, StandardCharsets.UTF_8)) {
            String[] parts = line.split(" ", 2);
            lines.put(parts[0], parts[1]);
        }
        return lines.build();
    }
}
