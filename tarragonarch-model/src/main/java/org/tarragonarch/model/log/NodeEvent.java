package org.tarragonarch.model.log;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What a line of a node's log reports; the word of each is stable, and docs/OPERATIONS.md explains it. */
public enum NodeEvent {
    /** A client was given its job's outcome. */
    JOB_ANSWERED,
    /** A client cancelled its job. */
    JOB_CANCELLED,
    /** A client named a queue that the configuration in force does not have; it was refused, or asked to come back. */
    QUEUE_UNKNOWN,
    /** A holder did not take a job, or gave it back unstarted. */
    JOB_DECLINED,
    /** A job that its own failure domain could not start at once was offered to the holder of another one. */
    JOB_MOVED,
    /** The holder of the other failure domain could not start the job at once either. */
    JOB_MOVED_BACK,
    /** A job's holder was lost, or has lost its shards, while runs of the job may be under way. */
    JOB_HOLDER_LOST,
    /** A job whose holder was lost was offered again. */
    JOB_OFFERED_AGAIN,
    /** No client waits for a job any more; it was withdrawn from its holder. */
    JOB_CLIENTS_LEFT,
    /** A holder goes on with a job of an earlier holder, and on what ground. */
    JOB_RECOVERED,
    /** A job was sent again by its client, through another node, while it is placed here. */
    JOB_RESUBMITTED,
    /** A holder ended the jobs of a node that is lost. */
    ORIGIN_LOST,
    /** A holder ended jobs that their node did not name as it connected again. */
    JOBS_NOT_OPEN,
    /** An endpoint is clearly faster or slower than before, by the run times of its tasks. */
    ENDPOINT_SPEED_CHANGED,
    /** A run did not do its work. */
    RUN_ENDED_BADLY,
    /** An endpoint has restarted under its id; what ran there is over. */
    ENDPOINT_RESTARTED,
    /** A share wants more capacity than its allotment from now on; its jobs wait, and are refused at admission. */
    SHARE_LIMITED,
    /** A share has all the capacity that it wants again. */
    SHARE_UNLIMITED,
    /** This node holds a shard from now on. */
    SHARD_CLAIMED,
    /** This node releases a shard. */
    SHARD_RESIGNED,
    /** The endpoints of a shard obey another holder. */
    SHARD_FENCED,
    /** A peer is reachable. */
    PEER_JOINED,
    /** A peer is not reachable any more. */
    PEER_LOST,
    /** A table of the platform's store cannot be read. */
    STORE_LOST,
    /** The rows that a table's call brought could not be taken; the table is read whole again. */
    STORE_ROWS_UNUSABLE,
    /** Another call for a table that cannot be read has failed. */
    STORE_CALL_FAILED,
    /** The table can be read again. */
    STORE_REGAINED,
    /** A configuration is in force at this node. */
    CONFIGURATION_IN_FORCE,
    /** A configuration could not be read, and the one before stays in force. */
    CONFIGURATION_UNREADABLE,
    /** Operators have drained a failure domain: nothing is started there from now on. */
    DOMAIN_DRAINED,
    /** Operators have taken a drained failure domain back into use. */
    DOMAIN_UNDRAINED,
    /** A row that drains a failure domain could not be read and was left out. */
    DRAIN_ROW_UNREADABLE,
    /** An endpoint's row in the store could not be read and was left out. */
    ENDPOINT_ROW_UNREADABLE,
    /** A node's row in the store could not be read and was left out. */
    NODE_ROW_UNREADABLE,
    /** The node has opened its addresses. */
    NODE_STARTED,
    /** The node was asked to stop. */
    NODE_LEAVING,
    /** The node ends now. */
    NODE_STOPPED,
    /** The settings file was read again. */
    SETTINGS_READ_AGAIN,
    /** The settings file was changed and cannot be read. */
    SETTINGS_UNREADABLE,
    /** Lines were left out because the reader of the log had stopped reading. */
    LOG_LINES_DROPPED;

    private final String word;

    NodeEvent() {
        this.word = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the word that stands in the log. */
    public String word() {
        return word;
    }

    /** Returns the event of this word, if there is one. */
    public static Optional<NodeEvent> ofWord(String word) {
        return Arrays.stream(values()).filter(event -> event.word.equals(word)).findFirst();
    }
}
