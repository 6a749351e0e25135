package org.tarragonarch.wire;

import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;

/** The kinds of frame, each with its number on the wire and the way its body is read. */
enum FrameType {
    HELLO(1) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return HelloCodec.read(reader);
        }
    },
    REPORT(2) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            Hello hello = sender.orElseThrow(() -> reader.malformed("a report before the hello"));
            return new ReportFrame(ReportCodec.read(reader, hello));
        }
    },
    ANSWER_ASKED(3) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return AnswerCodec.readAsked(reader);
        }
    },
    ANSWER_GIVEN(4) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return AnswerCodec.readGiven(reader);
        }
    },
    CONFIGURATION_ASKED(5) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new ConfigurationAsked(ConfigurationVersion.of(reader.readLong()));
        }
    },
    CONFIGURATION_GIVEN(6) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return ConfigurationCodec.read(reader);
        }
    };

    private final int number;

    FrameType(int number) {
        this.number = number;
    }

    /** Returns the number that opens a frame of this kind. */
    int number() {
        return number;
    }

    /** Reads what follows the number. */
    abstract Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException;

    /** Reads the number that opens a frame. */
    static FrameType readFrom(FrameReader reader) throws MalformedFrameException {
        int number = reader.readInt();
        for (FrameType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        throw reader.malformed("no frame has the number " + number);
    }
}
