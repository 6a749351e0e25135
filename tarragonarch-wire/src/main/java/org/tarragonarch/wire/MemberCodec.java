package org.tarragonarch.wire;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;

/** Reads and writes a {@link Member} within the bodies of other frames. */
final class MemberCodec {
    private MemberCodec() {}

    static void write(FrameWriter writer, Member member) {
        writer.writeText(member.node().value())
                .writeText(member.domain().value())
                .writeText(member.address().ip())
                .writeInt(member.address().port())
                .writeInt(member.milliCores());
    }

    static Member read(FrameReader reader) throws MalformedFrameException {
        NodeId node = NodeId.of(reader.readText());
        FailureDomain domain = FailureDomain.of(reader.readText());
        Address address = new Address(reader.readText(), reader.readInt());
        return new Member(node, domain, address, reader.readInt());
    }
}
