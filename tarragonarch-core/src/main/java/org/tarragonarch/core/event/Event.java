package org.tarragonarch.core.event;

/** An input to the core: something that happened outside it and to which the node must react. */
public sealed interface Event
        permits SubmissionArrived,
                CancelRequested,
                TaskEnded,
                ProbeEnded,
                TimePassed,
                VmListRead,
                PlatformFailed,
                ConfigurationRowRead,
                ConfigurationLoaded,
                ConfigurationLoadFailed,
                PeerReported,
                ClaimsWritten,
                ClaimsUncertain,
                ClaimsRead,
                PeerAnswerAsked,
                PeerAnswerArrived,
                DrainRequested,
                EndpointDrainRequested {}
