package org.tarragonarch.wire;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** Reads and writes the body of a {@link Hello}. */
final class HelloCodec {
    /** Starts every hello, to distinguish a foreign protocol from another version of this one. */
    private static final int MAGIC = 0x7A66;

    private HelloCodec() {}

    static void write(FrameWriter writer, Hello hello) {
        writer.writeInt(MAGIC)
                .writeInt(hello.protocolVersion())
                .writeText(hello.node().value())
                .writeLong(hello.incarnation().value())
                .writeText(hello.domain().value());
    }

    /** Reads a hello; the version is checked before the rest, whose layout may differ between versions. */
    static Hello read(FrameReader reader) throws MalformedFrameException {
        if (reader.readInt() != MAGIC) {
            throw reader.malformed("not a connection of this protocol");
        }
        int version = reader.readInt();
        if (version != Hello.PROTOCOL_VERSION) {
            throw reader.malformed("protocol version " + version + " instead of " + Hello.PROTOCOL_VERSION);
        }
        return new Hello(
                version,
                NodeId.of(reader.readText()),
                Incarnation.of(reader.readLong()),
                FailureDomain.of(reader.readText()));
    }
}
