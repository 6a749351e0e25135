package org.tarragonarch.core.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ForgetAnswer;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.core.submission.Dispatcher;
import org.tarragonarch.core.submission.Stage;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.core.submission.SubmissionEndListener;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.Claim;

/**
 * Ensures that at most one of the submissions under an idempotency key runs.
 *
 * <p>On one node, a second submission joins the first or gets the same answer. Between nodes, a claim in the table
 * service decides before the first task starts, and the losing node asks the winner for its answer. Idempotent kinds
 * need no claim, since running them on two nodes is harmless, and so stay available when the table service is not.
 *
 * <p>Not thread-safe.
 */
public final class IdempotencyKeys implements SubmissionEndListener {
    private final NodeIdentity self;
    private final Duration claimTimeout;
    private final Map<ClaimKey, KeyEntry> entries = new HashMap<>();
    private final Deque<Submission> claiming = new ArrayDeque<>();
    private final HolderQuestions holderQuestions = new HolderQuestions();
    private final ReleasedClaims released = new ReleasedClaims();
    private final ClaimBatcher batcher = new ClaimBatcher();
    private final KeptAnswers keptAnswers;
    private final ClaimSweeper sweeper;
    private Dispatcher dispatcher;

    private IdempotencyKeys(NodeIdentity self, NodePolicy policy, Random random) {
        this.self = checkNotNull(self, "self");
        this.claimTimeout = policy.claimTimeout();
        this.sweeper = new ClaimSweeper(random);
        this.keptAnswers = new KeptAnswers(policy.keptAnswer().toNanos(), policy.maxKeptAnswers());
    }

    /** Returns an empty table; {@link #connect} must be called before use. */
    public static IdempotencyKeys create(NodeIdentity self, NodePolicy policy, Random random) {
        return new IdempotencyKeys(self, policy, random);
    }

    /** Sets the dispatcher, which in turn reports ended submissions to this table. */
    public void connect(Dispatcher newDispatcher) {
        dispatcher = newDispatcher;
    }

    /** Sets how many nodes write claims to the same table service. */
    public void setWriters(int count) {
        batcher.setWriters(count);
    }

    /** Processes an admitted submission with a key. */
    public void submissionArrived(Submission submission, long nowNanos, ActionSink sink) {
        ClaimKey key = submission.claimKey().orElseThrow();
        KeyEntry entry = entries.get(key);
        if (entry == null || entry.mayRunAgain()) {
            begin(key, submission, nowNanos, sink);
        } else if (!entry.claim().content().equals(submission.arrived().content())) {
            dispatcher.end(submission, Optional.of(KeyProblems.keyReused(key)), nowNanos, sink);
        } else if (!entry.isAnswered()) {
            submission.stage(Stage.JOINED);
            entry.joined().add(submission);
        } else {
            answerFrom(entry, submission, nowNanos, sink);
        }
    }

    /** Returns whether other submissions or peers wait for the answer to this one. */
    public boolean isAwaited(Submission submission) {
        KeyEntry entry = submission.claimKey().map(entries::get).orElse(null);
        return entry != null
                && entry.isRunBy(submission)
                && !(entry.joined().isEmpty() && entry.questions().isEmpty());
    }

    @Override
    public void submissionEnded(Submission submission, Optional<Problem> problem, long nowNanos, ActionSink sink) {
        holderQuestions.remove(submission);
        KeyEntry entry = submission.claimKey().map(entries::get).orElse(null);
        if (entry == null || !entry.isRunBy(submission)) {
            return;
        }
        entry.recordAnswer(problem);
        if (entry.endedWithoutRun() && entry.isClaimRequested() && !batcher.withdraw(entry.claim())) {
            // Releases the key, since the caller may submit again to any node.
            released.release(entry.claim(), sink);
        }
        keptAnswers.add(entry, nowNanos);
        ImmutableList.copyOf(entry.joined()).forEach(joined -> answerFrom(entry, joined, nowNanos, sink));
        entry.questions().forEach(question -> question.sendAnswer(entry, sink));
        entry.joined().clear();
        entry.questions().clear();
    }

    /** Processes the results of a batch of claims that was written or read back. */
    public void claimsSettled(long batch, ImmutableList<ClaimResult> results, long nowNanos, ActionSink sink) {
        if (batcher.settle(batch).isPresent()) {
            results.forEach(result -> settle(result, nowNanos, sink));
        }
    }

    /** Records that a write or read of a batch of claims received no reply. */
    public void claimsUncertain(long batch, boolean mayHaveApplied, long nowNanos, ActionSink sink) {
        for (Claim unwritten : batcher.recordNoReply(batch, mayHaveApplied, nowNanos, sink)) {
            claimant(unwritten).ifPresent(submission -> endUnavailable(submission, nowNanos, sink));
        }
    }

    /** Processes a peer's question for the answer under a key. */
    public void peerAnswerAsked(PeerAnswerAsked asked, ActionSink sink) {
        PeerQuestion question = new PeerQuestion(asked.peer(), asked.question());
        KeyEntry entry = entries.get(asked.key());
        if (entry == null) {
            question.sendNoAnswer(sink);
        } else if (entry.isAnswered()) {
            question.sendAnswer(entry, sink);
        } else {
            entry.questions().add(question);
        }
    }

    /** Processes the answer of the node that holds a key. */
    public void peerAnswerArrived(Submission waiting, PeerAnswerArrived arrived, long nowNanos, ActionSink sink) {
        if (waiting.stage() != Stage.ASKING_HOLDER) {
            return;
        }
        switch (arrived.outcome()) {
            case COMPLETE -> dispatcher.endWithPeerAnswer(waiting, nowNanos, sink);
            case PROBLEM -> dispatcher.end(waiting, arrived.problem(), nowNanos, sink);
            case NOT_TO_BE_HAD ->
                endHeldElsewhere(
                        waiting, "the node that holds the key has no answer or is unreachable", nowNanos, sink);
            default -> throw new AssertionError(arrived.outcome());
        }
    }

    /**
     * Ends the submissions that wait for an answer from a node that no longer reports.
     *
     * <p>A frozen node keeps its connections open, so otherwise the submissions would wait until their deadlines.
     */
    public void holderSilent(NodeId holder, long nowNanos, ActionSink sink) {
        for (Submission submission : holderQuestions.waitingFor(holder)) {
            endHeldElsewhere(submission, "the node that holds the key stopped reporting", nowNanos, sink);
        }
    }

    /** Writes waiting claims, ends submissions whose claims timed out, and discards expired answers. */
    public void timePassed(long nowNanos, ActionSink sink) {
        while (!claiming.isEmpty() && isClaimOver(claiming.peek(), nowNanos)) {
            Submission oldest = claiming.remove();
            if (oldest.stage() == Stage.CLAIMING) {
                endUnavailable(oldest, nowNanos, sink);
            }
        }
        batcher.timePassed(nowNanos, sink);
        sweeper.timePassed(nowNanos, sink);
        Optional<KeyEntry> expired = keptAnswers.pollExpired(nowNanos);
        while (expired.isPresent()) {
            forget(expired.get(), sink);
            expired = keptAnswers.pollExpired(nowNanos);
        }
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        long claimEnd = claiming.isEmpty() ? Long.MAX_VALUE : claiming.peek().arrivedNanos() + claimTimeout.toNanos();
        return Longs.min(claimEnd, batcher.nextWakeNanos(), keptAnswers.nextWakeNanos(), sweeper.nextWakeNanos());
    }

    private boolean isClaimOver(Submission submission, long nowNanos) {
        return submission.stage() != Stage.CLAIMING || submission.arrivedNanos() + claimTimeout.toNanos() <= nowNanos;
    }

    private void begin(ClaimKey key, Submission submission, long nowNanos, ActionSink sink) {
        ClaimToken token = new ClaimToken(submission.id().toString());
        Claim claim = new Claim(
                key,
                token,
                self.node(),
                self.incarnation(),
                submission.arrived().content());
        KeyEntry entry = new KeyEntry(submission, claim);
        entries.put(key, entry);
        if (submission.kind().idempotent()) {
            dispatcher.dispatch(submission);
            return;
        }
        submission.stage(Stage.CLAIMING);
        if (batcher.isStoreUnavailable()) {
            endUnavailable(submission, nowNanos, sink);
            return;
        }
        claiming.add(submission);
        entry.markClaimRequested();
        batcher.add(claim);
        batcher.timePassed(nowNanos, sink);
    }

    private void settle(ClaimResult result, long nowNanos, ActionSink sink) {
        Optional<Submission> claimant = claimant(result.wanted());
        if (claimant.isEmpty()) {
            if (result.won()) {
                // The submission ended before its claim was written. Nothing ran, so the key is released.
                released.release(result.wanted(), sink);
            }
            return;
        }
        Submission submission = claimant.get();
        if (result.won()) {
            dispatcher.dispatch(submission);
        } else if (result.standing().isEmpty()) {
            endUnavailable(submission, nowNanos, sink);
        } else {
            claimLost(submission, result.wanted(), result.standing().get(), nowNanos, sink);
        }
    }

    private void claimLost(Submission submission, Claim wanted, Claim standing, long nowNanos, ActionSink sink) {
        if (released.contains(standing)) {
            // The claim belongs to an earlier submission of this node that did not run; its deletion is still pending.
            released.release(standing, sink);
            batcher.add(wanted);
            return;
        }
        sink.emit(Note.of(NoteEvent.CLAIM_LOST, Step.CLAIM, standing.node().value(), "key", wanted.key()));
        if (!standing.content().equals(wanted.content())) {
            dispatcher.end(submission, Optional.of(KeyProblems.keyReused(wanted.key())), nowNanos, sink);
        } else if (standing.node().equals(self.node())) {
            endHeldElsewhere(
                    submission, "this node claimed the key before and no longer has the answer", nowNanos, sink);
        } else {
            askHolder(submission, wanted.key(), standing.node(), sink);
        }
    }

    private void askHolder(Submission submission, ClaimKey key, NodeId holder, ActionSink sink) {
        KeyEntry entry = entries.remove(key);
        holderQuestions.ask(submission, key, holder, sink);
        entry.joined().forEach(joined -> holderQuestions.ask(joined, key, holder, sink));
        entry.questions().forEach(question -> question.sendNoAnswer(sink));
    }

    /** Returns the submission that requested the claim, if it still waits for it. */
    private Optional<Submission> claimant(Claim claim) {
        return Optional.ofNullable(entries.get(claim.key()))
                .filter(entry -> entry.claim().token().equals(claim.token()))
                .flatMap(KeyEntry::runningSubmission)
                .filter(running -> running.stage() == Stage.CLAIMING);
    }

    private void answerFrom(KeyEntry entry, Submission submission, long nowNanos, ActionSink sink) {
        if (entry.isComplete()) {
            dispatcher.endWithAnswerOf(submission, entry.submissionId(), nowNanos, sink);
        } else {
            dispatcher.end(submission, entry.problem(), nowNanos, sink);
        }
    }

    private void forget(KeyEntry entry, ActionSink sink) {
        entries.remove(entry.claim().key(), entry);
        if (entry.isComplete()) {
            sink.emit(new ForgetAnswer(entry.submissionId()));
        }
    }

    private void endUnavailable(Submission submission, long nowNanos, ActionSink sink) {
        dispatcher.end(submission, Optional.of(KeyProblems.claimUnavailable(claimTimeout)), nowNanos, sink);
    }

    private void endHeldElsewhere(Submission submission, String detail, long nowNanos, ActionSink sink) {
        dispatcher.end(submission, Optional.of(KeyProblems.heldElsewhere(detail)), nowNanos, sink);
    }
}
