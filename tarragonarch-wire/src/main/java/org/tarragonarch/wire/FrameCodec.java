package org.tarragonarch.wire;

import java.util.Optional;
import org.tarragonarch.model.task.JobVerdict;

/** Encodes and decodes frames, without the length field in front of each, which the channel handlers add and remove. */
public final class FrameCodec {
    /** The maximum length of a frame in bytes; a longer frame is neither sent nor read. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** The size of the length field in front of each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    /** Encodes a frame; the result may exceed {@link #MAX_FRAME_BYTES}. */
    public static byte[] encode(Frame frame) {
        FrameWriter writer = new FrameWriter();
        if (frame instanceof Hello hello) {
            HelloCodec.write(writer.writeInt(FrameType.HELLO.number()), hello);
        } else if (frame instanceof ReportFrame report) {
            ReportCodec.write(writer.writeInt(FrameType.REPORT.number()), report.report());
        } else if (frame instanceof AnswerAsked asked) {
            AnswerCodec.writeAsked(writer.writeInt(FrameType.ANSWER_ASKED.number()), asked);
        } else if (frame instanceof AnswerGiven given) {
            AnswerCodec.writeGiven(writer.writeInt(FrameType.ANSWER_GIVEN.number()), given);
        } else if (frame instanceof ConfigurationAsked asked) {
            writer.writeInt(FrameType.CONFIGURATION_ASKED.number())
                    .writeLong(asked.version().value());
        } else if (frame instanceof ConfigurationGiven given) {
            ConfigurationCodec.write(writer.writeInt(FrameType.CONFIGURATION_GIVEN.number()), given);
        } else {
            encodePlacing(writer, frame);
        }
        return writer.toByteArray();
    }

    private static void encodePlacing(FrameWriter writer, Frame frame) {
        if (frame instanceof StatusFrame status) {
            StatusCodec.write(writer.writeInt(FrameType.STATUS.number()), status.status());
        } else if (frame instanceof JobOffered offered) {
            OfferCodec.write(writer.writeInt(FrameType.JOB_OFFERED.number()), offered);
        } else if (frame instanceof JobSettled settled) {
            JobVerdict verdict = settled.verdict();
            writer.writeInt(FrameType.JOB_SETTLED.number())
                    .writeText(verdict.job().value())
                    .writeLong(verdict.offer().value())
                    .writeEnum(verdict.verdict())
                    .writeLong(verdict.retryMillis());
        } else if (frame instanceof JobWithdrawn withdrawn) {
            writer.writeInt(FrameType.JOB_WITHDRAWN.number())
                    .writeText(withdrawn.job().value());
        } else if (frame instanceof CancelAsked asked) {
            writer.writeInt(FrameType.CANCEL_ASKED.number())
                    .writeText(asked.job().value());
        } else if (frame instanceof CancelAnswered answered) {
            writer.writeInt(FrameType.CANCEL_ANSWERED.number())
                    .writeText(answered.job().value())
                    .writeBoolean(answered.known());
        } else if (frame instanceof EndpointsAsked) {
            writer.writeInt(FrameType.ENDPOINTS_ASKED.number());
        } else if (frame instanceof EndpointsGiven given) {
            EndpointsCodec.write(writer.writeInt(FrameType.ENDPOINTS_GIVEN.number()), given);
        } else if (frame instanceof EndpointChangesAsked asked) {
            writer.writeInt(FrameType.ENDPOINT_CHANGES_ASKED.number()).writeLong(asked.sinceVersion());
        } else if (frame instanceof EndpointChangesGiven given) {
            writer.writeInt(FrameType.ENDPOINT_CHANGES_GIVEN.number()).writeLong(given.version());
            EndpointsCodec.writeEntries(writer, given.changed());
        } else if (frame instanceof NodesAsked) {
            writer.writeInt(FrameType.NODES_ASKED.number());
        } else if (frame instanceof NodesGiven given) {
            NodesCodec.write(writer.writeInt(FrameType.NODES_GIVEN.number()), given);
        } else if (frame instanceof OpenJobs open) {
            writer.writeInt(FrameType.OPEN_JOBS.number()).writeCount(open.jobs().size());
            open.jobs().forEach(job -> writer.writeText(job.value()));
        }
    }

    /**
     * Decodes a frame.
     *
     * @param peer the name of the sender, for error messages
     * @param sender the hello received on the connection; empty if none was received yet
     * @param bytes exactly one frame
     * @throws MalformedFrameException if the bytes are not exactly one frame
     */
    public static Frame decode(String peer, Optional<Hello> sender, byte[] bytes) throws MalformedFrameException {
        FrameReader reader = new FrameReader(peer, bytes);
        try {
            Frame frame = FrameType.readFrom(reader).read(reader, sender);
            reader.checkFullyRead();
            return frame;
        } catch (IllegalArgumentException e) {
            throw reader.malformed("value out of range: " + e.getMessage(), e);
        }
    }
}
