package org.tarragonarch.model.log;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The events in a node's log; their words are stable, and docs/OPERATIONS.md explains them. */
public enum NodeEvent {
    /** A client was sent the outcome of its job. */
    JOB_ANSWERED,
    /** A client cancelled its job. */
    JOB_CANCELLED,
    /** A client was told whether the job that it cancelled was known; the line says which peers had not answered. */
    CANCEL_ANSWERED,
    /** A client named a queue that the configuration in force does not have; it was refused or told to retry. */
    QUEUE_UNKNOWN,
    /** A holder did not accept a job, or returned it without having started any of it. */
    JOB_DECLINED,
    /** A job that its own failure domain could not start at once was offered to the holder of another one. */
    JOB_MOVED,
    /** The holder of the other failure domain could not start the job at once either. */
    JOB_MOVED_BACK,
    /** The holder of a job was lost, or lost its shards, while runs of the job may be in progress. */
    JOB_HOLDER_LOST,
    /** A job whose holder was lost was offered again. */
    JOB_OFFERED_AGAIN,
    /** Offers that may have been lost with a connection were sent to their holder again. */
    OFFERS_SENT_AGAIN,
    /** The offer of a job was certainly not sent, because no connection with the holder could be opened. */
    OFFER_NOT_SENT,
    /** No client waits for a job any more; it was withdrawn from its holder. */
    JOB_CLIENTS_LEFT,
    /** A job was not submitted, because its client had left before its request was read. */
    SUBMISSION_DROPPED,
    /** A holder recovered a job of an earlier holder; the line names the ground. */
    JOB_RECOVERED,
    /** A client sent a job again, through another node, while the job is placed here. */
    JOB_RESUBMITTED,
    /** A holder ended the jobs of a lost node. */
    ORIGIN_LOST,
    /** A holder ended jobs that their origin did not list as open when it reconnected. */
    JOBS_NOT_OPEN,
    /** An endpoint has become clearly faster or slower, by the run times of its tasks. */
    ENDPOINT_SPEED_CHANGED,
    /** A run ended without having completed its work. */
    RUN_ENDED_BADLY,
    /** An endpoint whose silence ended a run is found to have crashed; the crash counts for the task of the run. */
    CRASH_CONFIRMED,
    /** A task is not started again, which settles its job; the line names the ground and how its runs have ended. */
    TASK_ABANDONED,
    /** An endpoint restarted under the same id; its earlier runs have ended. */
    ENDPOINT_RESTARTED,
    /** A share began to need more capacity than its allotment; its jobs wait, and new ones are refused at admission. */
    SHARE_LIMITED,
    /** A share has all the capacity that it needs again. */
    SHARE_UNLIMITED,
    /** This node has become the holder of a shard. */
    SHARD_CLAIMED,
    /** This node has released a shard. */
    SHARD_RESIGNED,
    /** The endpoints of a shard obey another holder. */
    SHARD_FENCED,
    /** A peer has become reachable. */
    PEER_JOINED,
    /** A peer's status is overdue; the connections with it are replaced, since they may have become silent. */
    PEER_OVERDUE,
    /** A peer is no longer reachable. */
    PEER_LOST,
    /** A table of the platform's store cannot be read. */
    STORE_LOST,
    /** The rows returned by a call for a table could not be applied; the whole table is read again. */
    STORE_ROWS_UNUSABLE,
    /** Another call for a table that cannot be read has failed. */
    STORE_CALL_FAILED,
    /** The table can be read again. */
    STORE_REGAINED,
    /** Entries of endpoints were received from a peer, because the store did not give them. */
    ENDPOINTS_FROM_PEER,
    /** A configuration has come into force at this node. */
    CONFIGURATION_IN_FORCE,
    /** A configuration could not be read; the previous one remains in force. */
    CONFIGURATION_UNREADABLE,
    /** Operators have drained a failure domain; no task is started there any more. */
    DOMAIN_DRAINED,
    /** Operators have ended the drain of a failure domain. */
    DOMAIN_UNDRAINED,
    /** A row that drains a failure domain could not be read and was ignored. */
    DRAIN_ROW_UNREADABLE,
    /** An endpoint's row in the store could not be read and was ignored. */
    ENDPOINT_ROW_UNREADABLE,
    /** A node's row in the store could not be read and was ignored. */
    NODE_ROW_UNREADABLE,
    /** The tasks of a job wait until its origin has received a recent status of this node. */
    STARTS_WITHHELD,
    /** Runs of a job were stopped because its origin has received no recent status of this node. */
    RUNS_WITHOUT_AUTHORITY,
    /** The clock of an endpoint shows that the steady clock of this node stood still. */
    CLOCK_STOOD_STILL,
    /** The node has begun to listen at its addresses. */
    NODE_STARTED,
    /** The node was asked to stop. */
    NODE_LEAVING,
    /** The node's process is about to exit. */
    NODE_STOPPED,
    /** The settings file was reloaded. */
    SETTINGS_READ_AGAIN,
    /** The settings file has changed and cannot be read. */
    SETTINGS_UNREADABLE,
    /** Lines were dropped because the reader of the log had stopped reading. */
    LOG_LINES_DROPPED;

    private final String word;

    NodeEvent() {
        this.word = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the word of the event in the log. */
    public String word() {
        return word;
    }

    /** Returns the event with this word, if there is one. */
    public static Optional<NodeEvent> ofWord(String word) {
        return Arrays.stream(values()).filter(event -> event.word.equals(word)).findFirst();
    }
}
