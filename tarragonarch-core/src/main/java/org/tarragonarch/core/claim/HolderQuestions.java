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

/** The submissions whose answer was asked for at the node that holds their key. */
final class HolderQuestions {
    private final Map<NodeId, Set<Submission>> asking = new HashMap<>();

    /** Asks the node that holds the key for the submission's answer. */
    void ask(Submission submission, ClaimKey key, NodeId holder, ActionSink sink) {
        submission.stage(Stage.ASKING_HOLDER);
        asking.computeIfAbsent(holder, node -> new LinkedHashSet<>()).add(submission);
        sink.emit(new AskPeerAnswer(holder, submission.id(), key));
    }

    /** Drops the question of a submission that has ended. */
    void remove(Submission submission) {
        if (submission.stage() == Stage.ASKING_HOLDER) {
            asking.values().forEach(waiting -> waiting.remove(submission));
        }
    }

    /** Returns the submissions that wait for an answer of this node. */
    ImmutableList<Submission> waitingFor(NodeId holder) {
        return ImmutableList.copyOf(asking.getOrDefault(holder, Set.of()));
    }
}
