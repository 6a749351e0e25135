package org.tarragonarch.wire;

import com.google.common.base.Strings;
import org.tarragonarch.model.id.EndpointId;

/**
 * Reads and writes a run of endpoint names, each as the length that it shares with the one before and the rest.
 *
 * <p>VMs of a domain are named alike, so names in order share most of their letters. Without a table of numbers kept
 * at both ends, which a lost frame would put out of step, a name costs about 5 bytes in place of 16.
 */
final class EndpointIdCodec {
    private String previous = "";

    void write(FrameWriter writer, EndpointId id) {
        int shared = Strings.commonPrefix(previous, id.value()).length();
        writer.writeInt(shared).writeText(id.value().substring(shared));
        previous = id.value();
    }

    EndpointId read(FrameReader reader) throws MalformedFrameException {
        int shared = reader.readInt();
        if (shared < 0 || shared > previous.length()) {
            throw reader.malformed("a shared length of " + shared + " after '" + previous + "'");
        }
        previous = previous.substring(0, shared) + reader.readText();
        return EndpointId.of(previous);
    }
}
