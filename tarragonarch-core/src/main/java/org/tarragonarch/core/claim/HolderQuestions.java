package org.tarragonarch.core.claim;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.submission.Stage;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;

/** The submissions that wait for an answer from the node that holds their key. */
final class HolderQuestions {
    private final Map<NodeId, Set<Submission>> waitingByHolder = new HashMap<>();

    /** Asks the node that holds the key for the answer to the submission. */
    void ask(Submission submission, ClaimKey key, NodeId holder, ActionSink sink) {
        submission.stage(Stage.ASKING_HOLDER);
        waitingByHolder.computeIfAbsent(holder, node -> new LinkedHashSet<>()).add(submission);
        sink.emit(new AskPeerAnswer(holder, submission.id(), key));
    }

    /** Removes a submission that has ended. */
    void remove(Submission submission) {
        if (submission.stage() == Stage.ASKING_HOLDER) {
            waitingByHolder.values().forEach(waiting -> waiting.remove(submission));
        }
    }

    /** Returns the submissions that wait for an answer from the given node. */
    ImmutableList<Submission> waitingFor(NodeId holder) {
        return ImmutableList.copyOf(waitingByHolder.getOrDefault(holder, Set.of()));
    }
}
