package org.tarragonarch.standin.scenario;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.standin.explore.FakeNode;
import org.tarragonarch.standin.explore.Ledger;
import org.tarragonarch.standin.explore.SentSubmission;
import org.tarragonarch.standin.explore.World;

/** One run of a scenario: the world, and the names that the scenario gives to nodes, endpoints and submissions. */
public final class ScenarioRun implements ObservedRun {
    private final World world;
    private final long startNanos;
    private final SetMultimap<String, String> domains = LinkedHashMultimap.create();
    private final SetMultimap<String, SentSubmission> submissions = LinkedHashMultimap.create();
    private int selections;

    ScenarioRun(World world) {
        this.world = world;
        this.startNanos = world.time().nowNanos();
    }

    World world() {
        return world;
    }

    /** Schedules an effect at a time in nanoseconds since the start of the scenario. */
    void scheduleAt(long nanos, Runnable effect) {
        world.time().scheduleAt(startNanos + nanos, effect);
    }

    void start(Map<String, Integer> nodes, Map<String, EndpointGroup> endpoints) {
        world.acceptConfiguration();
        endpoints.forEach((domain, group) -> {
            for (int number = 1; number <= group.count(); number++) {
                String name = domain + "-w" + number;
                domains.put(domain, name);
                world.startEndpoint(name, domain, group.slots());
            }
        });
        nodes.forEach((domain, count) -> {
            for (int number = 1; number <= count; number++) {
                startNode(domain + "-" + number);
            }
        });
    }

    void startNode(String name) {
        String domain = name.substring(0, name.lastIndexOf('-'));
        domains.put(domain, name);
        world.startNode(name, domain);
    }

    /** Returns the names of the nodes and endpoints of a failure domain, or the name itself if it is not a domain. */
    ImmutableList<String> members(String name) {
        return domains.containsKey(name) ? ImmutableList.copyOf(domains.get(name)) : ImmutableList.of(name);
    }

    /**
     * Returns the nodes of a failure domain, the node with a name, or all nodes.
     *
     * @throws IllegalArgumentException if there is none
     */
    private ImmutableList<FakeNode> matchingNodes(String name) {
        ImmutableList<FakeNode> found = world.nodes().stream()
                .filter(node -> name.equals("all") || members(name).contains(node.name()))
                .collect(ImmutableList.toImmutableList());
        checkArgument(!found.isEmpty(), "no node or domain is named '%s'", name);
        return found;
    }

    /** Applies an effect to each pair of members of two failure domains, nodes or endpoints. */
    void forEachPair(String one, String other, PairEffect effect) {
        for (String first : members(one)) {
            for (String second : members(other)) {
                effect.apply(first, second);
            }
        }
    }

    /** Returns the node that a load balancer would choose: the serving nodes in turn, or the node that is named. */
    Optional<String> selectNode(String name) {
        ImmutableList<FakeNode> ready = matchingNodes(name).stream()
                .filter(node -> node.alive() && node.phase() == NodePhase.SERVING)
                .collect(ImmutableList.toImmutableList());
        if (!domains.containsKey(name) && !name.equals("all")) {
            return Optional.of(name);
        }
        return ready.isEmpty()
                ? Optional.empty()
                : Optional.of(ready.get(selections++ % ready.size()).name());
    }

    /** Records a submission under the name that the scenario gives it. */
    void sent(String name, SentSubmission sent) {
        submissions.put(name, sent);
    }

    /** Returns the submissions sent under a name. */
    Set<SentSubmission> sent(String name) {
        return submissions.get(name);
    }

    @Override
    public ImmutableList<ObservedSubmission> submissions(String name) {
        return sent(name).stream()
                .map(sent -> new ObservedSubmission(
                        sent.submission().id(),
                        sent.sentNanos() - startNanos,
                        sent.outcome(),
                        sent.problem(),
                        sent.answeredNanos() - startNanos))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public ImmutableList<ObservedNode> nodes(String name) {
        return matchingNodes(name).stream().map(NodeView::new).collect(ImmutableList.toImmutableList());
    }

    @Override
    public ImmutableList<ObservedStart> starts(String name) {
        ImmutableList<String> endpoints = members(name);
        ImmutableList.Builder<ObservedStart> starts = ImmutableList.builder();
        for (SentSubmission sent : world.sent()) {
            for (int index = 0; index < sent.submission().tasks().size(); index++) {
                TaskId task = new TaskId(sent.submission().id(), index);
                for (Ledger.Start start : world.ledger().starts(task)) {
                    if (endpoints.contains(start.endpoint())) {
                        starts.add(new ObservedStart(task.toString(), start.endpoint(), start.nanos() - startNanos));
                    }
                }
            }
        }
        return starts.build();
    }

    /** The current state of one node. */
    private record NodeView(FakeNode node) implements ObservedNode {
        @Override
        public String name() {
            return node.name();
        }

        @Override
        public ConfigurationVersion configuration() {
            return node.status().configuration();
        }

        @Override
        public NodePhase phase() {
            return node.phase();
        }

        @Override
        public int noteCount(NoteEvent event) {
            return node.noteCount(event);
        }

        @Override
        public int livePeerCount() {
            return Math.toIntExact(
                    node.status().peers().stream().filter(PeerStatus::alive).count());
        }
    }

    /** An effect on a pair of nodes or endpoints. */
    @FunctionalInterface
    interface PairEffect {
        void apply(String one, String other);
    }
}
