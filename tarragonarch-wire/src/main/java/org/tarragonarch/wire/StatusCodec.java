package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.FencingToken;

/** Reads and writes the body of a {@link StatusFrame}. */
final class StatusCodec {
    private static final double MILLI_CORES_PER_CORE = 1_000;

    private StatusCodec() {}

    static void write(FrameWriter writer, NodeStatus status) {
        MemberCodec.write(writer, status.member());
        writer.writeBoolean(status.leaving())
                .writeBoolean(status.missesHolder())
                .writeLong(status.configurationVersion());
        writeDrained(writer, status.drained());
        writer.writeCount(status.shards().size());
        for (HeldShard shard : status.shards()) {
            writer.writeText(shard.domain().value())
                    .writeLong(shard.token().value())
                    .writeLong(shard.freeMilliCores());
            writeUses(writer, shard.uses());
        }
        writer.writeInt(status.number().value());
        writeReceived(writer, status.received());
    }

    static NodeStatus read(FrameReader reader) throws MalformedFrameException {
        Member member = MemberCodec.read(reader);
        boolean leaving = reader.readBoolean();
        boolean missesHolder = reader.readBoolean();
        long version = reader.readLong();
        DrainedDomains drained = readDrained(reader);
        int count = reader.readCount();
        ImmutableList.Builder<HeldShard> shards = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            FailureDomain shard = FailureDomain.of(reader.readText());
            FencingToken token = new FencingToken(reader.readLong());
            long free = reader.readLong();
            shards.add(new HeldShard(shard, token, free, readUses(reader)));
        }
        StatusNumber number = StatusNumber.of(reader.readInt());
        return new NodeStatus(
                member.node(),
                member.domain(),
                member.address(),
                member.milliCores(),
                leaving,
                missesHolder,
                version,
                drained,
                shards.build(),
                number,
                readReceived(reader));
    }

    private static void writeReceived(FrameWriter writer, ImmutableMap<NodeId, StatusNumber> received) {
        writer.writeCount(received.size());
        received.forEach((holder, number) -> writer.writeText(holder.value()).writeInt(number.value()));
    }

    private static ImmutableMap<NodeId, StatusNumber> readReceived(FrameReader reader) throws MalformedFrameException {
        int count = reader.readCount();
        Map<NodeId, StatusNumber> received = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            NodeId holder = NodeId.of(reader.readText());
            received.put(holder, StatusNumber.of(reader.readInt()));
        }
        return ImmutableMap.copyOf(received);
    }

    /** Writes uses in whole cores: statuses go to all nodes, so they are short; uses are only shown to operators. */
    private static void writeUses(FrameWriter writer, ImmutableList<ShareUse> uses) {
        writer.writeCount(uses.size());
        for (ShareUse use : uses) {
            writer.writeInt(use.priority()).writeLong(Math.round(use.milliCores() / MILLI_CORES_PER_CORE));
        }
    }

    private static ImmutableList<ShareUse> readUses(FrameReader reader) throws MalformedFrameException {
        int count = reader.readCount();
        ImmutableList.Builder<ShareUse> uses = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            int priority = reader.readInt();
            uses.add(new ShareUse(priority, (long) (reader.readLong() * MILLI_CORES_PER_CORE)));
        }
        return uses.build();
    }

    private static void writeDrained(FrameWriter writer, DrainedDomains drained) {
        writer.writeLong(drained.version()).writeCount(drained.domains().size());
        drained.domains().forEach(domain -> writer.writeText(domain.value()));
    }

    private static DrainedDomains readDrained(FrameReader reader) throws MalformedFrameException {
        long version = reader.readLong();
        int count = reader.readCount();
        ImmutableSet.Builder<FailureDomain> domains = ImmutableSet.builder();
        for (int i = 0; i < count; i++) {
            domains.add(FailureDomain.of(reader.readText()));
        }
        return new DrainedDomains(version, domains.build());
    }
}
