package org.tarragonarch.wire;

import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.outcome.Problem;

/** Reads and writes the bodies of {@link AnswerAsked} and {@link AnswerGiven}. */
final class AnswerCodec {
    private AnswerCodec() {}

    static void writeAsked(FrameWriter writer, AnswerAsked asked) {
        writer.writeLong(asked.question())
                .writeText(asked.key().service().value())
                .writeText(asked.key().caller().value())
                .writeText(asked.key().key().value());
    }

    static AnswerAsked readAsked(FrameReader reader) throws MalformedFrameException {
        long question = reader.readLong();
        ServiceName service = ServiceName.of(reader.readText());
        CallerName caller = CallerName.of(reader.readText());
        return new AnswerAsked(question, new ClaimKey(service, caller, new IdempotencyKey(reader.readText())));
    }

    static void writeGiven(FrameWriter writer, AnswerGiven given) {
        writer.writeLong(given.question()).writeEnum(given.outcome());
        given.problem().ifPresent(problem -> ProblemCodec.write(writer, problem));
        given.results().ifPresent(writer::writePayload);
    }

    static AnswerGiven readGiven(FrameReader reader) throws MalformedFrameException {
        long question = reader.readLong();
        AnswerOutcome outcome = reader.readEnum(AnswerOutcome.class);
        Optional<Problem> problem =
                outcome == AnswerOutcome.PROBLEM ? Optional.of(ProblemCodec.read(reader)) : Optional.empty();
        Optional<Payload> results =
                outcome == AnswerOutcome.COMPLETE ? Optional.of(reader.readPayload()) : Optional.empty();
        return new AnswerGiven(question, outcome, problem, results);
    }
}
