package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;

/** Reads and writes the entries of endpoints in frames. */
final class EndpointsCodec {
    private EndpointsCodec() {}

    static void write(FrameWriter writer, EndpointsGiven given) {
        writeEntries(writer, given.endpoints());
    }

    static void writeEntries(FrameWriter writer, ImmutableList<EndpointEntry> entries) {
        writer.writeCount(entries.size());
        for (EndpointEntry entry : entries) {
            writer.writeText(entry.id().value())
                    .writeLong(entry.incarnation().startedMillis())
                    .writeText(entry.service())
                    .writeText(entry.address().ip())
                    .writeInt(entry.address().port())
                    .writeText(entry.domain().value())
                    .writeBoolean(entry.draining())
                    .writeLong(entry.capacity().milliCores())
                    .writeLong(entry.capacity().memoryMb())
                    .writeLong(entry.capacity().accelerators())
                    .writeBoolean(entry.cold());
        }
    }

    static EndpointsGiven read(FrameReader reader) throws MalformedFrameException {
        return new EndpointsGiven(readEntries(reader));
    }

    static ImmutableList<EndpointEntry> readEntries(FrameReader reader) throws MalformedFrameException {
        int count = reader.readCount();
        ImmutableList.Builder<EndpointEntry> entries = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            EndpointIncarnation incarnation =
                    new EndpointIncarnation(EndpointId.of(reader.readText()), reader.readLong());
            String service = reader.readText();
            Address address = new Address(reader.readText(), reader.readInt());
            FailureDomain domain = FailureDomain.of(reader.readText());
            boolean draining = reader.readBoolean();
            Resources capacity = new Resources(reader.readLong(), reader.readLong(), reader.readLong());
            boolean cold = reader.readBoolean();
            entries.add(new EndpointEntry(incarnation, service, address, domain, draining, capacity, cold));
        }
        return entries.build();
    }
}
