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
 * Sees to it that submissions under one key run at most once between them.
 *
 * <p>On one node, a second submission joins the first or gets its answer again. Between nodes, a claim in the table
 * service decides before the first task starts; the loser asks the winner for its answer. A kind declared idempotent
 * needs no claim: running it on two nodes does no harm, and so it lives through an outage of the store. Not safe for
 * use by several threads.
 */
public final class IdempotencyKeys implements SubmissionEndListener {
    private final NodeIdentity self;
    private final Duration claimTimeout;
    private final Map<ClaimKey, KeyEntry> entries = new HashMap<>();
    private final Deque<Submission> claiming = new ArrayDeque<>();
    private final HolderQuestions asking = new HolderQuestions();
    private final ReleasedClaims released = new ReleasedClaims();
    private final ClaimBatcher batcher = new ClaimBatcher();
    private final KeptAnswers kept;
    private final ClaimSweeper sweeper;
    private Dispatcher dispatcher;

    private IdempotencyKeys(NodeIdentity self, NodePolicy policy, Random random) {
        this.self = checkNotNull(self, "self");
        this.claimTimeout = policy.claimTimeout();
        this.sweeper = new ClaimSweeper(random);
        this.kept = new KeptAnswers(policy.keptAnswer().toNanos(), policy.maxKeptAnswers());
    }

    /** Returns a table without keys; {@link #connect} must follow. */
    public static IdempotencyKeys create(NodeIdentity self, NodePolicy policy, Random random) {
        return new IdempotencyKeys(self, policy, random);
    }

    /** Connects the dispatcher, which in turn reports ends to this table. */
    public void connect(Dispatcher connected) {
        dispatcher = connected;
    }

    /** Sets how many nodes write claims to the same table service. */
    public void writers(int count) {
        batcher.writers(count);
    }

    /** Records a submission with a key, which was taken and has no answer yet. */
    public void arrived(Submission submission, long nowNanos, ActionSink sink) {
        ClaimKey key = submission.claimKey().orElseThrow();
        KeyEntry entry = entries.get(key);
        if (entry == null || entry.mayRunAgain()) {
            begin(key, submission, nowNanos, sink);
        } else if (!entry.claim().content().equals(submission.arrived().content())) {
            dispatcher.end(submission, Optional.of(KeyProblems.keyReused(key)), nowNanos, sink);
        } else if (!entry.answered()) {
            submission.stage(Stage.JOINED);
            entry.joined().add(submission);
        } else {
            answerLike(entry, submission, nowNanos, sink);
        }
    }

    /** Returns whether other submissions wait for the answer of this one. */
    public boolean awaited(Submission submission) {
        KeyEntry entry = submission.claimKey().map(entries::get).orElse(null);
        return entry != null
                && entry.isRunBy(submission)
                && !(entry.joined().isEmpty() && entry.questions().isEmpty());
    }

    @Override
    public void submissionEnded(Submission submission, Optional<Problem> problem, long nowNanos, ActionSink sink) {
        asking.ended(submission);
        KeyEntry entry = submission.claimKey().map(entries::get).orElse(null);
        if (entry == null || !entry.isRunBy(submission)) {
            return;
        }
        entry.answer(problem);
        if (entry.notRun() && entry.claimAsked() && !batcher.withdraw(entry.claim())) {
            // The caller may send it again, to any node: the claim must not stand in the way.
            released.release(entry.claim(), sink);
        }
        kept.keep(entry, nowNanos);
        ImmutableList.copyOf(entry.joined()).forEach(joined -> answerLike(entry, joined, nowNanos, sink));
        entry.questions().forEach(question -> question.give(entry, sink));
        entry.joined().clear();
        entry.questions().clear();
    }

    /** Processes what became of a batch of claims, written or read back. */
    public void settled(long batch, ImmutableList<ClaimResult> results, long nowNanos, ActionSink sink) {
        if (batcher.settled(batch).isPresent()) {
            results.forEach(result -> settle(result, nowNanos, sink));
        }
    }

    /** Records that a batch of claims had no reply. */
    public void uncertain(long batch, boolean mayHaveApplied, long nowNanos, ActionSink sink) {
        for (Claim unwritten : batcher.uncertain(batch, mayHaveApplied, nowNanos, sink)) {
            claimant(unwritten).ifPresent(submission -> unavailable(submission, nowNanos, sink));
        }
    }

    /** Records a peer's question for the answer under a key. */
    public void asked(PeerAnswerAsked asked, ActionSink sink) {
        PeerQuestion question = new PeerQuestion(asked.peer(), asked.question());
        KeyEntry entry = entries.get(asked.key());
        if (entry == null) {
            question.giveNothing(sink);
        } else if (entry.answered()) {
            question.give(entry, sink);
        } else {
            entry.questions().add(question);
        }
    }

    /** Records the answer of the node that holds a key. */
    public void peerAnswered(Submission waiting, PeerAnswerArrived arrived, long nowNanos, ActionSink sink) {
        if (waiting.stage() != Stage.ASKING_HOLDER) {
            return;
        }
        switch (arrived.outcome()) {
            case COMPLETE -> dispatcher.endWithPeerAnswer(waiting, nowNanos, sink);
            case PROBLEM -> dispatcher.end(waiting, arrived.problem(), nowNanos, sink);
            case NOT_TO_BE_HAD -> heldElsewhere(waiting, "the node that holds the key gives no answer", nowNanos, sink);
            default -> throw new AssertionError(arrived.outcome());
        }
    }

    /**
     * Gives up on answers from a node that fell silent.
     *
     * <p>A frozen holder keeps its connections open, so nothing else would tell its askers before their deadlines.
     */
    public void silent(NodeId holder, long nowNanos, ActionSink sink) {
        for (Submission submission : asking.waitingFor(holder)) {
            heldElsewhere(submission, "the node that holds the key fell silent", nowNanos, sink);
        }
    }

    /** Writes the claims that wait, gives up on those that took too long, and forgets old answers. */
    public void timePassed(long nowNanos, ActionSink sink) {
        while (!claiming.isEmpty() && claimOver(claiming.peek(), nowNanos)) {
            Submission oldest = claiming.remove();
            if (oldest.stage() == Stage.CLAIMING) {
                unavailable(oldest, nowNanos, sink);
            }
        }
        batcher.timePassed(nowNanos, sink);
        sweeper.timePassed(nowNanos, sink);
        Optional<KeyEntry> old = kept.forget(nowNanos);
        while (old.isPresent()) {
            forget(old.get(), sink);
            old = kept.forget(nowNanos);
        }
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        long claimEnd = claiming.isEmpty() ? Long.MAX_VALUE : claiming.peek().arrivedNanos() + claimTimeout.toNanos();
        return Longs.min(claimEnd, batcher.nextWakeNanos(), kept.nextWakeNanos(), sweeper.nextWakeNanos());
    }

    private boolean claimOver(Submission submission, long nowNanos) {
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
        if (batcher.storeOut()) {
            unavailable(submission, nowNanos, sink);
            return;
        }
        claiming.add(submission);
        entry.askClaim();
        batcher.add(claim);
        batcher.timePassed(nowNanos, sink);
    }

    private void settle(ClaimResult result, long nowNanos, ActionSink sink) {
        Optional<Submission> claimant = claimant(result.wanted());
        if (claimant.isEmpty()) {
            if (result.won()) {
                // The submission ended while its claim was being written: nothing ran, so the key goes free again.
                released.release(result.wanted(), sink);
            }
            return;
        }
        Submission submission = claimant.get();
        if (result.won()) {
            dispatcher.dispatch(submission);
        } else if (result.standing().isEmpty()) {
            unavailable(submission, nowNanos, sink);
        } else {
            lost(submission, result.wanted(), result.standing().get(), nowNanos, sink);
        }
    }

    private void lost(Submission submission, Claim wanted, Claim standing, long nowNanos, ActionSink sink) {
        if (released.contains(standing)) {
            // An earlier submission of this run ended not-run and its claim's deletion is still on its way.
            released.release(standing, sink);
            batcher.add(wanted);
            return;
        }
        sink.emit(Note.of(NoteEvent.CLAIM_LOST, Step.CLAIM, standing.node().value(), "key", wanted.key()));
        if (!standing.content().equals(wanted.content())) {
            dispatcher.end(submission, Optional.of(KeyProblems.keyReused(wanted.key())), nowNanos, sink);
        } else if (standing.node().equals(self.node())) {
            heldElsewhere(submission, "this node held the key before and has no answer for it", nowNanos, sink);
        } else {
            askHolder(submission, wanted.key(), standing.node(), sink);
        }
    }

    private void askHolder(Submission submission, ClaimKey key, NodeId holder, ActionSink sink) {
        KeyEntry entry = entries.remove(key);
        asking.ask(submission, key, holder, sink);
        entry.joined().forEach(joined -> asking.ask(joined, key, holder, sink));
        entry.questions().forEach(question -> question.giveNothing(sink));
    }

    // The submission that wants this claim, if it still waits for it.
    private Optional<Submission> claimant(Claim claim) {
        return Optional.ofNullable(entries.get(claim.key()))
                .filter(entry -> entry.claim().token().equals(claim.token()))
                .flatMap(KeyEntry::running)
                .filter(holder -> holder.stage() == Stage.CLAIMING);
    }

    private void answerLike(KeyEntry entry, Submission submission, long nowNanos, ActionSink sink) {
        if (entry.complete()) {
            dispatcher.endWithAnswerOf(submission, entry.holderId(), nowNanos, sink);
        } else {
            dispatcher.end(submission, entry.problem(), nowNanos, sink);
        }
    }

    private void forget(KeyEntry entry, ActionSink sink) {
        entries.remove(entry.claim().key(), entry);
        if (entry.complete()) {
            sink.emit(new ForgetAnswer(entry.holderId()));
        }
    }

    private void unavailable(Submission submission, long nowNanos, ActionSink sink) {
        dispatcher.end(submission, Optional.of(KeyProblems.unavailable(claimTimeout)), nowNanos, sink);
    }

    private void heldElsewhere(Submission submission, String detail, long nowNanos, ActionSink sink) {
        dispatcher.end(submission, Optional.of(KeyProblems.heldElsewhere(detail)), nowNanos, sink);
    }
}
