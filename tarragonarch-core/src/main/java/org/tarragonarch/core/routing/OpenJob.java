package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;

/** A job of this node's clients that is not answered yet. */
final class OpenJob {
    private final JobRequest request;
    private final QueueDefinition queue;
    private final long arrivedAtMillis;
    private final long deadlineAtMillis;
    private final List<Consumer<JobReply>> clients = new ArrayList<>();
    private final Set<NodeId> declinedBy = new HashSet<>();
    private Optional<Holder> holder = Optional.empty();
    private Optional<HolderLoss> loss = Optional.empty();
    private Optional<HolderLoss> lossBefore = Optional.empty();
    private Optional<NodeId> lastHolder = Optional.empty();
    private Optional<NodeId> returnedBy = Optional.empty();
    private Optional<FormerHolders.FormerHolder> formerHolder = Optional.empty();
    private final ImmediateStartOffers immediateStartOffers;
    private Optional<SentOffer> lastOffer = Optional.empty();
    private boolean mayHaveRun;
    private long soonestRetryMillis = Long.MAX_VALUE;

    OpenJob(JobRequest request, QueueDefinition queue, long arrivedAtMillis, long deadlineAtMillis) {
        this.request = request;
        this.immediateStartOffers = new ImmediateStartOffers(request);
        this.queue = queue;
        this.arrivedAtMillis = arrivedAtMillis;
        this.deadlineAtMillis = deadlineAtMillis;
    }

    /**
     * Sets the holder that had the job when its client submitted it before.
     *
     * <p>Guards against a task that runs twice: the former holder may still be stopping the earlier runs. It waits for
     * them before it starts the job again, whereas any other holder would start the job immediately.
     */
    void setFormerHolder(FormerHolders.FormerHolder former) {
        formerHolder = Optional.of(former);
    }

    JobId id() {
        return request.id();
    }

    QueueDefinition queue() {
        return queue;
    }

    /** Returns the processor time that the whole job takes while it runs, in thousandths of a core. */
    long milliCores() {
        return request.milliCores();
    }

    long deadlineAtMillis() {
        return deadlineAtMillis;
    }

    long ageMillis(long nowMillis) {
        return nowMillis - arrivedAtMillis;
    }

    /**
     * Returns an offer of this job, which supersedes its earlier ones.
     *
     * @param maxRunMillisAfterContact the longest time that runs continue after this node last heard from
     *     their holder, in milliseconds
     * @param toOwnDomain whether the offer goes to the holder of this node's own failure domain
     */
    Offer offer(
            NodeId own,
            OfferNumber number,
            long nowMillis,
            long maxRunMillisAfterContact,
            OfferTerms terms,
            boolean toOwnDomain) {
        EarlierRuns earlierRuns = loss.filter(lost -> lost.remainingRunMillis(nowMillis, maxRunMillisAfterContact) > 0)
                .map(lost ->
                        new EarlierRuns(lost.remainingRunMillis(nowMillis, maxRunMillisAfterContact), lost.shards()))
                .orElse(EarlierRuns.NONE);
        Offer offer = new Offer(
                request,
                queue,
                own,
                number,
                ageMillis(nowMillis),
                deadlineAtMillis - nowMillis,
                earlierRuns,
                terms,
                toOwnDomain);
        lastOffer = Optional.of(new SentOffer(offer, nowMillis));
        return offer;
    }

    /** Returns the last offer; the job must have a holder. */
    SentOffer lastOffer() {
        return lastOffer.orElseThrow();
    }

    /**
     * Returns the next holder to which the job is offered for an immediate start; empty if a holder may queue it.
     *
     * <p>Empty for a job that may have run, which may go only to a holder that finds its runs, and for a job that is
     * already late, which would lose the time of a round trip per offer.
     */
    Optional<Holder> nextImmediateStartHolder(
            ImmutableList<Holder> inOrder, Holders holders, long nowMillis, long maxRunMillisAfterContact) {
        if (mayHaveRun || isLate(nowMillis)) {
            return Optional.empty();
        }
        return immediateStartOffers.next(
                inOrder, holders, holder -> mayBeOfferedTo(holder, holders, nowMillis, maxRunMillisAfterContact));
    }

    private boolean isLate(long nowMillis) {
        double objective = queue.stretch() * request.step().estimateMillis() + queue.objectiveMillis();
        return ageMillis(nowMillis) + request.step().estimateMillis() > objective;
    }

    void addClient(Consumer<JobReply> client) {
        clients.add(client);
    }

    /** Removes a client; returns whether none is left. */
    boolean removeClient(Consumer<JobReply> client) {
        clients.remove(client);
        return clients.isEmpty();
    }

    void answer(JobReply reply) {
        clients.forEach(client -> client.accept(reply));
        clients.clear();
    }

    Optional<Holder> holder() {
        return holder;
    }

    boolean isHeldBy(NodeId node) {
        return holder.filter(current -> current.node().equals(node)).isPresent();
    }

    /** Returns whether a node's verdict answers the last offer of this job, rather than an earlier one. */
    boolean isAnsweredBy(NodeId node, JobVerdict verdict) {
        return isHeldBy(node) && lastOffer().isAnsweredBy(verdict);
    }

    /**
     * Records the next holder.
     *
     * <p>A lost holder that has returned knows what became of its own runs, so only those of earlier holders may still
     * be in progress unnoticed.
     */
    void markOfferedTo(Holder next) {
        if (loss.filter(lost -> next.hasReturned(lost.holder())).isPresent()) {
            loss = lossBefore;
            lossBefore = Optional.empty();
        }
        formerHolder = Optional.empty();
        holder = Optional.of(next);
        lastHolder = Optional.of(next.node());
    }

    /** Returns the node to which the job was last offered. */
    Optional<NodeId> lastHolder() {
        return lastHolder;
    }

    /**
     * Records that the holder was lost, so that it is unknown which tasks ran.
     *
     * <p>Holders that declined the job before may be offered it again: they may have free capacity by the time its runs
     * are certainly over.
     *
     * @param shards the shards on which runs of the job may be
     * @param lastContactMillis when this node last heard from the holder, on the steady clock
     */
    void markHolderLost(ImmutableSet<FailureDomain> shards, long nowMillis, long lastContactMillis) {
        declinedBy.clear();
        mayHaveRun = true;
        lossBefore = loss;
        loss = holder.map(lost -> new HolderLoss(lost, shards, nowMillis, lastContactMillis));
        holder = Optional.empty();
    }

    /**
     * Records that the holder returned the job without having started any of it, or that the offer was not sent to it.
     *
     * <p>The job is not offered to it again until holders change: a node that has released its shards, or has stopped,
     * still appears to hold them until its next status arrives or its loss is detected.
     */
    void markReturned() {
        excludeHolder();
        holder = Optional.empty();
    }

    /** Keeps the job from being offered to its present holder again until holders change. */
    void excludeHolder() {
        returnedBy = holder.map(Holder::node);
    }

    /** Permits offers to the holder that returned the job, because holders have changed. */
    void holdersChanged() {
        returnedBy = Optional.empty();
    }

    /** Records that the holder could not start the job at once; it may be offered the job again under other terms. */
    void markNotStartedAtOnce() {
        holder = Optional.empty();
    }

    void markDeclined(long retryMillis) {
        holder.ifPresent(by -> declinedBy.add(by.node()));
        holder = Optional.empty();
        soonestRetryMillis = Math.min(soonestRetryMillis, retryMillis);
    }

    /** Records that the holder stopped all runs and gave the job back; any other holder may take it at once. */
    void markEvicted() {
        holder.ifPresent(by -> declinedBy.add(by.node()));
        holder = Optional.empty();
        loss = Optional.empty();
        lossBefore = Optional.empty();
        mayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the time since the last holder was lost, in milliseconds; empty if none was lost. */
    OptionalLong sinceLossMillis(long nowMillis) {
        return loss.isPresent() ? OptionalLong.of(nowMillis - loss.get().atMillis()) : OptionalLong.empty();
    }

    /** Returns whether the job may be offered to the holder now. */
    boolean mayBeOfferedTo(Holder candidate, Holders holders, long nowMillis, long maxRunMillisAfterContact) {
        boolean mayRunElsewhere = formerHolder
                .filter(former -> nowMillis < former.closedAtMillis() + maxRunMillisAfterContact)
                .filter(former -> !former.node().equals(candidate.node()))
                .isPresent();
        if (declinedBy.contains(candidate.node()) || isReturnedBy(candidate) || mayRunElsewhere) {
            return false;
        }
        if (loss.isEmpty() || loss.get().remainingRunMillis(nowMillis, maxRunMillisAfterContact) == 0) {
            return true;
        }
        Holder lost = loss.get().holder();
        return candidate.hasReturned(lost)
                || candidate.isSuccessorOf(lost)
                        && holders.hasNewestTokens(candidate, loss.get().shards());
    }

    /** Returns whether the job may be offered to the holder later although it may not be now. */
    boolean mayBeOfferedLaterTo(Holder candidate) {
        return (mayHaveRun || isReturnedBy(candidate)) && !declinedBy.contains(candidate.node());
    }

    private boolean isReturnedBy(Holder candidate) {
        return returnedBy.filter(candidate.node()::equals).isPresent();
    }

    boolean wasDeclined() {
        return !declinedBy.isEmpty();
    }

    long soonestRetryMillis() {
        return soonestRetryMillis;
    }
}
