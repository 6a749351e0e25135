package org.tarragonarch.core.action;

/** An output of the core: something that the node asks its shell to do. */
public sealed interface Action
        permits SendTask,
                StopTask,
                ProbeEndpoint,
                AnswerComplete,
                AnswerProblem,
                AnswerFromPeer,
                AnswerSameAs,
                ForgetAnswer,
                WriteClaims,
                ReadClaims,
                ReleaseClaim,
                SweepClaims,
                AskPeerAnswer,
                GivePeerAnswer,
                SendReport,
                ReadVmList,
                ReadConfigurationRow,
                LoadConfiguration,
                ConfigurationInForce,
                PhaseChanged,
                WakeAt,
                Note {}
