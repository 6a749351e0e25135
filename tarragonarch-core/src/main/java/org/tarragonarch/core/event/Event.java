package org.tarragonarch.core.event;

/** Something that happened outside the core and that the node must decide upon. */
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
