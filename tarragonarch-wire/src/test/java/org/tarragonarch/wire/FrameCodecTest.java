package org.tarragonarch.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Bytes;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class FrameCodecTest {
    @DataProvider
    public Object[] frames() {
        return Iterables.toArray(Iterables.concat(Samples.allFrames(), PlacingSamples.allFrames()), Frame.class);
    }

    @Test(dataProvider = "frames")
    public void testDecode_roundTrip(Frame frame) throws Exception {
        assertEquals(FrameCodec.decode("peer", Samples.sender(), FrameCodec.encode(frame)), frame);
    }

    @Test(dataProvider = "frames")
    public void testDecode_truncatedFrame(Frame frame) {
        byte[] whole = FrameCodec.encode(frame);
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(MalformedFrameException.class, () -> FrameCodec.decode("peer", Samples.sender(), part));
        }
    }

    @Test(dataProvider = "frames")
    public void testDecode_trailingBytes(Frame frame) {
        byte[] longer = Bytes.concat(FrameCodec.encode(frame), new byte[] {0});
        assertThrows(MalformedFrameException.class, () -> FrameCodec.decode("peer", Samples.sender(), longer));
    }

    @Test
    public void testDecode_reportBeforeHello() {
        byte[] report = FrameCodec.encode(Samples.reportFrame(Samples.HOBART, 1));
        assertThrows(MalformedFrameException.class, () -> FrameCodec.decode("peer", Optional.empty(), report));
    }

    /** Guards against a hello of another version reported as a malformed frame. */
    @Test
    public void testDecode_helloOfOtherVersion() {
        byte[] hello = new FrameWriter()
                .writeInt(FrameType.HELLO.number())
                .writeInt(0x7A66)
                .writeInt(8)
                .writeBoolean(true)
                .toByteArray();
        MalformedFrameException refusal =
                expectThrows(MalformedFrameException.class, () -> FrameCodec.decode("peer", Optional.empty(), hello));
        assertTrue(refusal.getMessage().contains("protocol version 8 instead of 7"), refusal.getMessage());
    }

    /** Guards against an allocation of two gigabytes for a string whose length a frame announces without the bytes. */
    @Test
    public void testDecode_hugeAnnouncedLength() {
        byte[] huge = BaseEncoding.base16().decode("01CD7A6607DB7FFFFFFF");
        MalformedFrameException refusal =
                expectThrows(MalformedFrameException.class, () -> FrameCodec.decode("peer", Optional.empty(), huge));
        assertTrue(refusal.getMessage().contains("0 bytes left"), refusal.getMessage());
    }

    @Test
    public void testDecode_mutatedBytes() {
        Random random = new Random(20261202);
        ImmutableList<byte[]> seeds =
                Samples.allFrames().stream().map(FrameCodec::encode).collect(ImmutableList.toImmutableList());
        int refused = 0;
        for (int round = 0; round < 200_000; round++) {
            byte[] bytes = mutated(seeds.get(random.nextInt(seeds.size())), random);
            try {
                FrameCodec.decode("peer", Samples.sender(), bytes);
            } catch (MalformedFrameException e) {
                refused++;
            }
        }
        assertTrue(refused > 100_000, "only " + refused + " refused: the mutations are not effective");
    }

    /** Guards against a changed layout, such as a new enum constant, under the same {@link Hello#PROTOCOL_VERSION}. */
    @Test
    public void testEncode_layoutOfProtocolVersionSeven() {
        byte[] all = Samples.allFrames().stream().map(FrameCodec::encode).reduce(new byte[0], Bytes::concat);
        String enums = Arrays.toString(NodePhase.values())
                + Arrays.toString(ProblemCode.values())
                + Arrays.toString(Step.values())
                + Arrays.toString(AnswerOutcome.values())
                + Arrays.toString(Verdict.values())
                + Arrays.toString(OfferTerms.values());
        assertEquals(Hello.PROTOCOL_VERSION, 7);
        assertEquals(
                Hashing.sha256().hashBytes(all).toString(),
                "b32a85f18122e2208934f75fb1ef5e003adc818cab0e6b053d1768dbd7f3854a");
        assertEquals(
                Hashing.sha256().hashUnencodedChars(enums).toString(),
                "412647c0098ee69dd2b0211df024fa38d494de1b8d670e00179172a6c49bd5e2");
    }

    @Test
    public void testEncode_sharedNamePrefixes() {
        ImmutableList<EndpointLoad> loads = IntStream.range(0, 110)
                .mapToObj(i -> Samples.load(String.format("hobart-worker-%03d", i), i % 8))
                .collect(ImmutableList.toImmutableList());
        int length = FrameCodec.encode(new ReportFrame(Samples.report(Samples.HOBART, 1_000, loads))).length;
        assertTrue(length < 110 * 5, length + " bytes");
    }

    private static byte[] mutated(byte[] source, Random random) {
        byte[] bytes = Arrays.copyOf(source, Math.max(1, source.length + random.nextInt(5) - 2));
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }
}
