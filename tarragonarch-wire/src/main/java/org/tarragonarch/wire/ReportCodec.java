package org.tarragonarch.wire;

import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;

/** Reads and writes the body of a {@link ReportFrame}; endpoints are sorted by id, as {@link EndpointIdCodec} needs. */
final class ReportCodec {
    private ReportCodec() {}

    static void write(FrameWriter writer, PeerReport report) {
        writer.writeLong(report.sequence())
                .writeEnum(report.phase())
                .writeLong(report.configuration().value())
                .writeBoolean(report.full());
        writeLoads(writer, report.loads());
        writeIds(writer, report.leaving());
        writeIds(writer, report.quarantined());
    }

    static PeerReport read(FrameReader reader, Hello sender) throws MalformedFrameException {
        long sequence = reader.readLong();
        NodePhase phase = reader.readEnum(NodePhase.class);
        ConfigurationVersion configuration = ConfigurationVersion.of(reader.readLong());
        boolean full = reader.readBoolean();
        return new PeerReport(
                sender.node(),
                sender.incarnation(),
                sequence,
                sender.domain(),
                phase,
                configuration,
                readLoads(reader),
                full,
                readIds(reader),
                readIds(reader));
    }

    private static void writeLoads(FrameWriter writer, ImmutableList<EndpointLoad> loads) {
        EndpointIdCodec ids = new EndpointIdCodec();
        writer.writeCount(loads.size());
        loads.stream().sorted(comparing(EndpointLoad::endpoint)).forEach(load -> {
            ids.write(writer, load.endpoint());
            writer.writeInt(load.inFlight());
        });
    }

    private static ImmutableList<EndpointLoad> readLoads(FrameReader reader) throws MalformedFrameException {
        EndpointIdCodec ids = new EndpointIdCodec();
        int count = reader.readCount();
        ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            loads.add(new EndpointLoad(ids.read(reader), reader.readInt()));
        }
        return loads.build();
    }

    private static void writeIds(FrameWriter writer, ImmutableSet<EndpointId> endpoints) {
        EndpointIdCodec ids = new EndpointIdCodec();
        writer.writeCount(endpoints.size());
        endpoints.stream().sorted().forEach(id -> ids.write(writer, id));
    }

    private static ImmutableSet<EndpointId> readIds(FrameReader reader) throws MalformedFrameException {
        EndpointIdCodec ids = new EndpointIdCodec();
        int count = reader.readCount();
        ImmutableSet.Builder<EndpointId> endpoints = ImmutableSet.builder();
        for (int i = 0; i < count; i++) {
            endpoints.add(ids.read(reader));
        }
        return endpoints.build();
    }
}
