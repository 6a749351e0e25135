package org.tarragonarch.wire;

/** A message from one node to another. */
public sealed interface Frame
        permits Hello,
                ReportFrame,
                AnswerAsked,
                AnswerGiven,
                ConfigurationAsked,
                ConfigurationGiven,
                StatusFrame,
                JobOffered,
                JobSettled,
                JobWithdrawn,
                CancelAsked,
                CancelAnswered,
                EndpointsAsked,
                EndpointsGiven,
                EndpointChangesAsked,
                EndpointChangesGiven,
                NodesAsked,
                NodesGiven,
                OpenJobs {}
