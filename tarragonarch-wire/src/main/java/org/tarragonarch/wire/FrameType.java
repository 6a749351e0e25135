package org.tarragonarch.wire;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.Verdict;

/** The types of frame, each with its number on the wire and the decoder of its body. */
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
            Hello hello = sender.orElseThrow(() -> reader.malformed("report received before the hello"));
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
    },
    STATUS(7) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new StatusFrame(StatusCodec.read(reader));
        }
    },
    JOB_OFFERED(8) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return OfferCodec.read(reader);
        }
    },
    JOB_SETTLED(9) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            JobId job = new JobId(reader.readText());
            OfferNumber offer = OfferNumber.of(reader.readLong());
            Verdict verdict = reader.readEnum(Verdict.class);
            return new JobSettled(new JobVerdict(job, offer, verdict, reader.readLong()));
        }
    },
    JOB_WITHDRAWN(10) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new JobWithdrawn(new JobId(reader.readText()));
        }
    },
    CANCEL_ASKED(11) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new CancelAsked(new JobId(reader.readText()));
        }
    },
    CANCEL_ANSWERED(12) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            JobId job = new JobId(reader.readText());
            return new CancelAnswered(job, reader.readBoolean());
        }
    },
    ENDPOINTS_ASKED(13) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new EndpointsAsked();
        }
    },
    ENDPOINTS_GIVEN(14) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return EndpointsCodec.read(reader);
        }
    },
    NODES_ASKED(15) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new NodesAsked();
        }
    },
    NODES_GIVEN(16) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return NodesCodec.read(reader);
        }
    },
    OPEN_JOBS(17) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            int count = reader.readCount();
            ImmutableSet.Builder<JobId> jobs = ImmutableSet.builder();
            for (int i = 0; i < count; i++) {
                jobs.add(new JobId(reader.readText()));
            }
            return new OpenJobs(jobs.build());
        }
    },
    ENDPOINT_CHANGES_ASKED(18) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new EndpointChangesAsked(reader.readLong());
        }
    },
    ENDPOINT_CHANGES_GIVEN(19) {
        @Override
        Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException {
            return new EndpointChangesGiven(reader.readLong(), EndpointsCodec.readEntries(reader));
        }
    };

    private final int number;

    FrameType(int number) {
        this.number = number;
    }

    /** Returns the number at the start of a frame of this type. */
    int number() {
        return number;
    }

    /** Reads the body of a frame, which follows the type number. */
    abstract Frame read(FrameReader reader, Optional<Hello> sender) throws MalformedFrameException;

    /** Reads the type number at the start of a frame. */
    static FrameType readFrom(FrameReader reader) throws MalformedFrameException {
        int number = reader.readInt();
        for (FrameType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        throw reader.malformed("unknown frame type " + number);
    }
}
