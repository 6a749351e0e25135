package org.tarragonarch.wire;

/** One message from node to node. */
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
                NodesAsked,
                NodesGiven,
                OpenJobs {}
