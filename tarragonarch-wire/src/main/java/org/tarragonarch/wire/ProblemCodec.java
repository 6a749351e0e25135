package org.tarragonarch.wire;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** Reads and writes a {@link Problem}; the retry delay is encoded in whole milliseconds. */
final class ProblemCodec {
    private ProblemCodec() {}

    static void write(FrameWriter writer, Problem problem) {
        writer.writeEnum(problem.code())
                .writeEnum(problem.step())
                .writeText(problem.peer())
                .writeText(problem.detail());
        writer.writeBoolean(problem.retryAfter().isPresent());
        problem.retryAfter().ifPresent(wait -> writer.writeLong(wait.toMillis()));
        writer.writeBoolean(problem.task().isPresent());
        problem.task().ifPresent(task -> writer.writeText(task.toString()));
    }

    static Problem read(FrameReader reader) throws MalformedFrameException {
        ProblemCode code = reader.readEnum(ProblemCode.class);
        Step step = reader.readEnum(Step.class);
        String peer = reader.readText();
        String detail = reader.readText();
        Optional<Duration> retryAfter =
                reader.readBoolean() ? Optional.of(Duration.ofMillis(reader.readLong())) : Optional.empty();
        Optional<TaskId> task = reader.readBoolean() ? Optional.of(TaskId.parse(reader.readText())) : Optional.empty();
        return new Problem(code, step, peer, detail, retryAfter, task);
    }
}
