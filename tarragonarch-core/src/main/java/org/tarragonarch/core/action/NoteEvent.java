package org.tarragonarch.core.action;

/** The events that the core notes; metrics count each of them. */
public enum NoteEvent {
    /** An answer for an ended task or an earlier attempt was dropped. */
    LATE_ANSWER_DROPPED,
    /** An endpoint refused a task before running it. */
    SEND_REFUSED,
    /** A task of an idempotent request is sent again after its answer was lost. */
    TASK_RETRIED,
    /** A retry was due, but the retry budget was exhausted. */
    RETRY_BUDGET_EMPTY,
    /** An endpoint was quarantined. */
    ENDPOINT_QUARANTINED,
    /** An endpoint returned to use after quarantine, an operator's drain or leaving. */
    ENDPOINT_READMITTED,
    /** An endpoint is leaving or drained by an operator and gets no new tasks. */
    ENDPOINT_LEAVING,
    /** An endpoint appeared in the VM list. */
    ENDPOINT_APPEARED,
    /** An endpoint disappeared from the VM list. */
    ENDPOINT_GONE,
    /** A peer reported for the first time, or again after silence. */
    PEER_ALIVE,
    /** A peer has not reported for too long. */
    PEER_SILENT,
    /** A report of an earlier incarnation of a peer, or out of order, was dropped. */
    STALE_REPORT_DROPPED,
    /** A report of a peer was lost; some of its loads may be outdated until its next full report. */
    REPORT_GAP,
    /** A configuration was refused because it is older than, or contradicts, the known one. */
    OLD_CONFIGURATION_REFUSED,
    /** A read from the platform failed. */
    PLATFORM_READ_FAILED,
    /** The reply to a write of claims was lost; the rows are read back. */
    CLAIM_REPLY_LOST,
    /** A claim was lost to another node. */
    CLAIM_LOST,
    /** This node was paused for so long that peers discarded its reports; its full state is reported again. */
    SLEPT_PAST_LEASE,
    /** The drain deadline passed and the tasks in flight were cut off. */
    DRAIN_CUT_SHORT
}
