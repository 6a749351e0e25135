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
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;

/** A job whose client waits at this node. */
final class OpenJob {
    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

    private final JobRequest request;
    private final QueueDefinition queue;
    private final long arrivedAtMillis;
    private final long deadlineAtMillis;
    private final List<Consumer<JobReply>> clients = new ArrayList<>();
    private final Set<NodeId> declinedBy = new HashSet<>();
    private Optional<Holder> holder = Optional.empty();
    private Optional<Holder> lostHolder = Optional.empty();
    private Optional<NodeId> lastHolder = Optional.empty();
    private Optional<NodeId> returnedBy = Optional.empty();
    private Optional<FormerHolders.FormerHolder> formerHolder = Optional.empty();
    private ImmutableSet<FailureDomain> shardsWithPossibleRuns = ImmutableSet.of();
    private final ImmediateStartOffers immediateStartOffers;
    private boolean mayHaveRun;
    private long lostAtMillis;
    private long soonestRetryMillis = Long.MAX_VALUE;

    OpenJob(JobRequest request, QueueDefinition queue, long arrivedAtMillis, long deadlineAtMillis) {
        this.request = request;
        this.immediateStartOffers = new ImmediateStartOffers(request);
        this.queue = queue;
        this.arrivedAtMillis = arrivedAtMillis;
        this.deadlineAtMillis = deadlineAtMillis;
    }

    /**
     * Notes who had the job when its client sent it before.
     *
     * <p>Guards against a task that runs twice: that holder may still be stopping its runs, and lets the job wait for
     * that, whereas any other would start it.
     */
    void formerHolder(FormerHolders.FormerHolder hold) {
        formerHolder = Optional.of(hold);
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
     * Returns the offer of this job.
     *
     * @param runsLastMillis how long what a lost holder started may run on
     * @param toOwnDomain whether it goes to the holder of this node's own failure domain
     */
    Offer offer(NodeId own, long nowMillis, long runsLastMillis, OfferTerms terms, boolean toOwnDomain) {
        EarlierRuns earlierRuns = lostHolder
                .filter(lost -> lostAtMillis + runsLastMillis > nowMillis)
                .map(lost -> new EarlierRuns(lostAtMillis + runsLastMillis - nowMillis, shardsWithPossibleRuns))
                .orElse(EarlierRuns.NONE);
        return new Offer(
                request,
                queue,
                own,
                ageMillis(nowMillis),
                deadlineAtMillis - nowMillis,
                earlierRuns,
                terms,
                toOwnDomain);
    }

    /**
     * Returns the holder that should start the job at once before any may let it wait; empty if there is none.
     *
     * <p>A job that may have run goes only where its runs are seen. One that is late already loses no time in rounds.
     */
    Optional<Holder> nextImmediateStartHolder(
            ImmutableList<Holder> inOrder, Holders holders, long nowMillis, long runsLastMillis) {
        if (mayHaveRun || isLate(nowMillis)) {
            return Optional.empty();
        }
        return immediateStartOffers.next(
                inOrder, holders, holder -> mayBeOfferedTo(holder, holders, nowMillis, runsLastMillis));
    }

    private boolean isLate(long nowMillis) {
        double objective = queue.stretch() * request.step().estimateMillis() + queue.objectiveMillis();
        return ageMillis(nowMillis) + request.step().estimateMillis() > objective;
    }

    void addClient(Consumer<JobReply> client) {
        clients.add(client);
    }

    /** Takes a client away; returns whether none is left. */
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

    void markOfferedTo(Holder next) {
        formerHolder = Optional.empty();
        holder = Optional.of(next);
        lastHolder = Optional.of(next.node());
    }

    /** Returns the node that the job was last offered to. */
    Optional<NodeId> lastHolder() {
        return lastHolder;
    }

    /**
     * The holder is gone, and with it the knowledge of what ran.
     *
     * <p>Whoever declined the job before may have room by the time its runs are certainly over.
     *
     * @param reach the shards on which its runs may be
     */
    void markHolderLost(ImmutableSet<FailureDomain> reach, long nowMillis) {
        shardsWithPossibleRuns = reach;
        declinedBy.clear();
        mayHaveRun = true;
        lostAtMillis = nowMillis;
        lostHolder = holder;
        holder = Optional.empty();
    }

    /** The offer certainly never reached the holder. */
    void markOfferNotSent() {
        holder = Optional.empty();
    }

    /**
     * The holder gave the job back without having started any of it.
     *
     * <p>It gets the job again only after holders have changed: until it is known that it releases its shards, it
     * looks like the holder that it was.
     */
    void markReturned() {
        returnedBy = holder.map(Holder::node);
        holder = Optional.empty();
    }

    /** Notes that there may be other holders than before. */
    void holdersChanged() {
        returnedBy = Optional.empty();
    }

    /** The holder could not start the job at once; it may have the job again under other terms. */
    void markNotStartedAtOnce() {
        holder = Optional.empty();
    }

    void markDeclined(long retryMillis) {
        holder.ifPresent(by -> declinedBy.add(by.node()));
        holder = Optional.empty();
        soonestRetryMillis = Math.min(soonestRetryMillis, retryMillis);
    }

    /** The holder gave the job back after it had stopped what ran; any other may have it at once. */
    void markEvicted() {
        holder.ifPresent(by -> declinedBy.add(by.node()));
        holder = Optional.empty();
        lostHolder = Optional.empty();
        shardsWithPossibleRuns = ImmutableSet.of();
        lostAtMillis = LONG_AGO_MILLIS;
        mayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns how long ago the last holder was lost, in milliseconds; empty if none was. */
    OptionalLong sinceLossMillis(long nowMillis) {
        return lostHolder.isPresent() ? OptionalLong.of(nowMillis - lostAtMillis) : OptionalLong.empty();
    }

    /** Returns whether the job may go to the holder now, given how long a lost holder's runs may last. */
    boolean mayBeOfferedTo(Holder candidate, Holders holders, long nowMillis, long runsLastMillis) {
        boolean isKnownElsewhere = formerHolder
                .filter(hold -> nowMillis < hold.closedAtMillis() + runsLastMillis)
                .filter(hold -> !hold.node().equals(candidate.node()))
                .isPresent();
        if (declinedBy.contains(candidate.node()) || isReturnedBy(candidate) || isKnownElsewhere) {
            return false;
        }
        if (!mayHaveRun || nowMillis >= lostAtMillis + runsLastMillis) {
            return true;
        }
        return holders.hasNewestTokens(candidate, shardsWithPossibleRuns)
                && lostHolder.filter(candidate::isSuccessorOf).isPresent();
    }

    /** Returns whether the job may go to the holder at some time, though not now. */
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
