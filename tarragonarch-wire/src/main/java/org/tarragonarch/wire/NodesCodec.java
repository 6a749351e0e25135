package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.report.Member;

/** Reads and writes the body of a {@link NodesGiven}. */
final class NodesCodec {
    private NodesCodec() {}

    static void write(FrameWriter writer, NodesGiven given) {
        writer.writeCount(given.nodes().size());
        given.nodes().forEach(member -> MemberCodec.write(writer, member));
    }

    static NodesGiven read(FrameReader reader) throws MalformedFrameException {
        int count = reader.readCount();
        ImmutableList.Builder<Member> nodes = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            nodes.add(MemberCodec.read(reader));
        }
        return new NodesGiven(nodes.build());
    }
}
