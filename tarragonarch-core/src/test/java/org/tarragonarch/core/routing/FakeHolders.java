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
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferTerms;

/** Holders that note what they are asked. */
final class FakeHolders implements Holders {
    static final NodeId OWN = NodeId.of("own");
    static final FailureDomain OWN_DOMAIN = FailureDomain.of("hobart");

    final List<Holder> holders = new ArrayList<>();
    final List<FailureDomain> taken = new ArrayList<>();
    final Map<FailureDomain, Long> highestTerms = new HashMap<>();
    boolean isHolderExpected;
    boolean isHolderUnreachable;
    final List<HolderRoom> neighboursWithRoom = new ArrayList<>();
    final List<String> asked = new ArrayList<>();
    final List<String> refused = new ArrayList<>();

    Holder add(String node, String shard, long term) {
        HeldShard held = new HeldShard(FailureDomain.of(shard), FencingToken.of(term, "10.0.0.1"), 1_000);
        Holder holder = new Holder(NodeId.of(node), ImmutableList.of(held));
        holders.add(holder);
        return holder;
    }

    @Override
    public ImmutableList<Holder> inOrder() {
        return ImmutableList.copyOf(holders);
    }

    /** Adds the holder of another failure domain that has room. */
    Holder addNeighbour(String node, String shard, long freeMilliCores) {
        Holder holder = add(node, shard, 1);
        neighboursWithRoom.add(new HolderRoom(holder, freeMilliCores));
        return holder;
    }

    @Override
    public ImmutableList<HolderRoom> neighboursWithRoom(long milliCores) {
        return neighboursWithRoom.stream()
                .filter(neighbour -> neighbour.freeMilliCores() >= milliCores)
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public void notStartedAtOnce(Holder holder, long milliCores) {
        refused.add(holder.node() + " " + milliCores);
    }

    @Override
    public boolean isOwn(Holder holder) {
        return holder.holds(OWN_DOMAIN);
    }

    @Override
    public ImmutableSet<FailureDomain> reach(Holder lost) {
        return ImmutableSet.<FailureDomain>builder()
                .addAll(lost.domains())
                .addAll(taken)
                .build();
    }

    @Override
    public boolean hasNewest(Holder holder, ImmutableSet<FailureDomain> shards) {
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

    @Override
    public void offer(Holder holder, Offer offer) {
        asked.add("offer " + holder.node()
                + (offer.terms() == OfferTerms.AT_ONCE ? " at once" : "")
                + (offer.earlierRuns().isOver()
                        ? ""
                        : " over in " + offer.earlierRuns().lastMillis()));
    }

    @Override
    public void withdraw(Holder holder, JobId job) {
        asked.add("withdraw " + holder.node());
    }

    @Override
    public NodeId own() {
        return OWN;
    }
}
