package org.tarragonarch.entry.caller;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import com.google.common.collect.SetMultimap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.SubmissionId;

/** The callers that wait for an answer, by submission and by request id. Thread-safe. */
final class PendingAnswers {
    private final ConcurrentMap<SubmissionId, PendingAnswer> byId = new ConcurrentHashMap<>();
    private final SetMultimap<RequestKey, SubmissionId> byRequestId =
            Multimaps.synchronizedSetMultimap(HashMultimap.create());

    void add(SubmissionId id, PendingAnswer pending) {
        byId.put(id, pending);
        pending.requestId().ifPresent(text -> byRequestId.put(new RequestKey(pending.caller(), text), id));
    }

    /** Removes and returns a waiting caller. Only the first call for an id finds it, so no answer is sent twice. */
    Optional<PendingAnswer> remove(SubmissionId id) {
        PendingAnswer pending = byId.remove(id);
        if (pending == null) {
            return Optional.empty();
        }
        pending.requestId().ifPresent(text -> byRequestId.remove(new RequestKey(pending.caller(), text), id));
        return Optional.of(pending);
    }

    /** Returns the unanswered submissions of a caller with this request id. */
    ImmutableSet<SubmissionId> findByRequestId(CallerName caller, String requestId) {
        synchronized (byRequestId) {
            return ImmutableSet.copyOf(byRequestId.get(new RequestKey(caller, requestId)));
        }
    }

    int size() {
        return byId.size();
    }

    private record RequestKey(CallerName caller, String requestId) {}
}
