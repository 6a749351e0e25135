package org.tarragonarch.entry.peer;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.SubmissionId;

/** The questions that this node has put to others and that have no answer yet. Safe for use by several threads. */
final class AskedQuestions {
    private final AtomicLong last = new AtomicLong();
    private final ConcurrentMap<Long, Asked> open = new ConcurrentHashMap<>();

    long add(NodeId peer, SubmissionId waiting, ClaimKey key) {
        long question = last.incrementAndGet();
        open.put(question, new Asked(peer, waiting, key));
        return question;
    }

    /** Takes a question out if it was put to this peer; only the first call finds it. */
    Optional<Asked> remove(long question, NodeId peer) {
        Asked asked = open.get(question);
        return asked != null && asked.peer().equals(peer) && open.remove(question, asked)
                ? Optional.of(asked)
                : Optional.empty();
    }

    ImmutableMap<Long, Asked> open() {
        return ImmutableMap.copyOf(open);
    }

    record Asked(NodeId peer, SubmissionId waiting, ClaimKey key) {}
}
