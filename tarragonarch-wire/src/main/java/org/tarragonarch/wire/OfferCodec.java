package org.tarragonarch.wire;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;

/** Reads and writes the body of a {@link JobOffered}. */
final class OfferCodec {
    /** Fractions are encoded as whole thousandths. */
    private static final double THOUSANDTHS = 1_000;

    private OfferCodec() {}

    static void write(FrameWriter writer, JobOffered offered) {
        Offer offer = offered.offer();
        writer.writeText(offer.origin().value())
                .writeLong(offer.number().value())
                .writeLong(offer.ageMillis())
                .writeLong(offer.deadlineMillis())
                .writeLong(offer.earlierRuns().lastMillis())
                .writeCount(offer.earlierRuns().shards().size());
        offer.earlierRuns().shards().forEach(shard -> writer.writeText(shard.value()));
        writer.writeEnum(offer.terms())
                .writeBoolean(offer.fromOwnDomain())
                .writeInt(offer.lastStatus().value());
        writeJob(writer, offer.job());
        writeQueue(writer, offer.queue());
    }

    static JobOffered read(FrameReader reader) throws MalformedFrameException {
        NodeId origin = NodeId.of(reader.readText());
        OfferNumber number = OfferNumber.of(reader.readLong());
        long age = reader.readLong();
        long deadline = reader.readLong();
        EarlierRuns earlierRuns = readEarlierRuns(reader);
        OfferTerms terms = reader.readEnum(OfferTerms.class);
        boolean fromOwnDomain = reader.readBoolean();
        StatusNumber lastStatus = StatusNumber.of(reader.readInt());
        JobRequest job = readJob(reader);
        QueueDefinition queue = readQueue(reader);
        return new JobOffered(
                new Offer(job, queue, origin, number, age, deadline, earlierRuns, terms, fromOwnDomain, lastStatus));
    }

    private static EarlierRuns readEarlierRuns(FrameReader reader) throws MalformedFrameException {
        long lastMillis = reader.readLong();
        int count = reader.readCount();
        ImmutableSet.Builder<FailureDomain> shards = ImmutableSet.builder();
        for (int i = 0; i < count; i++) {
            shards.add(FailureDomain.of(reader.readText()));
        }
        return new EarlierRuns(lastMillis, shards.build());
    }

    private static void writeJob(FrameWriter writer, JobRequest job) {
        TaskStep step = job.step();
        writer.writeText(job.id().value())
                .writeText(job.specification())
                .writeInt(step.count())
                .writeLong(step.perTask().milliCores())
                .writeLong(step.perTask().memoryMb())
                .writeLong(step.perTask().accelerators())
                .writeLong(step.estimateMillis());
    }

    private static JobRequest readJob(FrameReader reader) throws MalformedFrameException {
        JobId id = new JobId(reader.readText());
        String specification = reader.readText();
        int count = reader.readInt();
        Resources perTask = new Resources(reader.readLong(), reader.readLong(), reader.readLong());
        return new JobRequest(id, specification, new TaskStep(count, perTask, reader.readLong()));
    }

    private static void writeQueue(FrameWriter writer, QueueDefinition queue) {
        writer.writeText(queue.name())
                .writeText(queue.host())
                .writeText(queue.prefix())
                .writeText(queue.service())
                .writeInt(queue.priority())
                .writeInt(queue.attempts())
                .writeLong(Math.round(queue.stretch() * THOUSANDTHS))
                .writeLong(queue.objectiveMillis());
    }

    private static QueueDefinition readQueue(FrameReader reader) throws MalformedFrameException {
        String name = reader.readText();
        String host = reader.readText();
        String prefix = reader.readText();
        String service = reader.readText();
        int priority = reader.readInt();
        int attempts = reader.readInt();
        double stretch = reader.readLong() / THOUSANDTHS;
        return new QueueDefinition(name, host, prefix, service, priority, attempts, stretch, reader.readLong());
    }
}
