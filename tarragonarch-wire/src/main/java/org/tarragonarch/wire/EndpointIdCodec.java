package org.tarragonarch.wire;

import com.google.common.base.Strings;
import org.tarragonarch.model.id.EndpointId;

/**
 * Reads and writes a sequence of endpoint ids, each as the length of the prefix shared with the previous
 * id and the remaining characters.
 *
 * <p>VMs of a domain have similar names, so consecutive sorted ids share most of their characters, and an id takes
 * about 5 bytes instead of 16. A table of ids kept at both ends would be inconsistent after a lost frame.
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
            throw reader.malformed("shared prefix length " + shared + " is out of range after '" + previous + "'");
        }
        previous = previous.substring(0, shared) + reader.readText();
        return EndpointId.of(previous);
    }
}
