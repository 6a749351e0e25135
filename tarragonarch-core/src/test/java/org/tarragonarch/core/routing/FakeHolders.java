package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/** Configurable holders that record the calls they receive. */
final class FakeHolders implements Holders {
    static final NodeId OWN = NodeId.of("own");
    static final FailureDomain OWN_DOMAIN = FailureDomain.of("hobart");

    final List<Holder> holders = new ArrayList<>();
    final List<FailureDomain> possiblyTaken = new ArrayList<>();
    final Map<FailureDomain, Long> highestTerms = new HashMap<>();
    boolean isHolderExpected;
    boolean isHolderUnreachable;
    final List<HolderCapacity> neighboursWithRoom = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    final List<String> notStartedAtOnce = new ArrayList<>();
    private final Map<JobId, OfferNumber> lastOffers = new HashMap<>();
    private final Timers timers;

    /** Creates holders that are heard from until they are lost. */
    FakeHolders(Timers timers) {
        this.timers = timers;
    }

    Holder add(String node, String shard, long term) {
        HeldShard held = new HeldShard(FailureDomain.of(shard), FencingToken.of(term, "10.0.0.1"), 1_000);
        Holder holder = new Holder(NodeId.of(node), ImmutableList.of(held));
        holders.add(holder);
        return holder;
    }

    @Override
    public StatusNumber lastStatus(NodeId node) {
        return StatusNumber.NONE;
    }

    @Override
    public long lastContactMillis(Holder holder) {
        return timers.nowMillis();
    }

    @Override
    public ImmutableList<Holder> inPreferenceOrder() {
        return ImmutableList.copyOf(holders);
    }

    /** Adds the holder of another failure domain with free capacity. */
    Holder addNeighbour(String node, String shard, long freeMilliCores) {
        Holder holder = add(node, shard, 1);
        neighboursWithRoom.add(new HolderCapacity(holder, freeMilliCores));
        return holder;
    }

    @Override
    public ImmutableList<HolderCapacity> neighboursWithCapacity(long milliCores) {
        return neighboursWithRoom.stream()
                .filter(neighbour -> neighbour.freeMilliCores() >= milliCores)
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public void notStartedAtOnce(Holder holder, long milliCores) {
        notStartedAtOnce.add(holder.node() + " " + milliCores);
    }

    @Override
    public boolean holdsOwnDomain(Holder holder) {
        return holder.holds(OWN_DOMAIN);
    }

    @Override
    public ImmutableSet<FailureDomain> shardsWithPossibleRuns(Holder lost) {
        return ImmutableSet.<FailureDomain>builder()
                .addAll(lost.domains())
                .addAll(possiblyTaken)
                .build();
    }

    @Override
    public boolean hasNewestTokens(Holder holder, ImmutableSet<FailureDomain> shards) {
        return holder.domains().containsAll(shards)
                && holder.shards().stream()
                        .allMatch(held -> held.token().term() >= highestTerms.getOrDefault(held.domain(), 0L));
    }

    @Override
    public boolean isHolderExpected() {
        return isHolderExpected;
    }

    @Override
    public boolean isHolderUnreachable() {
        return isHolderUnreachable;
    }

    /** Returns a verdict on the last offer of a job. */
    JobVerdict verdictOn(JobId job, Verdict verdict, long retryMillis) {
        return new JobVerdict(job, lastOffers.getOrDefault(job, OfferNumber.of(0)), verdict, retryMillis);
    }

    @Override
    public void offer(Holder holder, Offer offer) {
        lastOffers.put(offer.job().id(), offer.number());
        calls.add("offer " + holder.node()
                + (offer.terms() == OfferTerms.AT_ONCE ? " at once" : "")
                + (offer.earlierRuns().isOver()
                        ? ""
                        : " over in " + offer.earlierRuns().lastMillis()));
    }

    @Override
    public void withdraw(Holder holder, JobId job) {
        calls.add("withdraw " + holder.node());
    }

    @Override
    public NodeId ownNode() {
        return OWN;
    }
}
