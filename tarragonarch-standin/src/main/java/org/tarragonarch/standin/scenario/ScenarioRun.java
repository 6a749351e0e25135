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

/** One run of a scenario: the world, and the names that the scenario gave. */
public final class ScenarioRun implements ObservedRun {
    private final World world;
    private final long startNanos;
    private final SetMultimap<String, String> domains = LinkedHashMultimap.create();
    private final SetMultimap<String, SentSubmission> submissions = LinkedHashMultimap.create();
    private int balanced;

    ScenarioRun(World world) {
        this.world = world;
        this.startNanos = world.time().nowNanos();
    }

    World world() {
        return world;
    }

    /** Plans something for a time since the start of the scenario. */
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

    /** Returns the nodes and endpoints of a domain, or the one thing of this name. */
    ImmutableList<String> members(String name) {
        return domains.containsKey(name) ? ImmutableList.copyOf(domains.get(name)) : ImmutableList.of(name);
    }

    /** Returns the nodes of a domain, the one node of this name, or all nodes. */
    private ImmutableList<FakeNode> fakes(String name) {
        ImmutableList<FakeNode> found = world.nodes().stream()
                .filter(node -> name.equals("all") || members(name).contains(node.name()))
                .collect(ImmutableList.toImmutableList());
        checkArgument(!found.isEmpty(), "there is no node or domain '%s'", name);
        return found;
    }

    /** Does something with each pair of two things, which may be domains. */
    void forEachPair(String one, String other, PairEffect effect) {
        for (String first : members(one)) {
            for (String second : members(other)) {
                effect.apply(first, second);
            }
        }
    }

    /** Returns the node that the balancer picks: those that are ready in turn, or the one that is named. */
    Optional<String> selectNode(String name) {
        ImmutableList<FakeNode> ready = fakes(name).stream()
                .filter(node -> node.alive() && node.phase() == NodePhase.SERVING)
                .collect(ImmutableList.toImmutableList());
        if (!domains.containsKey(name) && !name.equals("all")) {
            return Optional.of(name);
        }
        return ready.isEmpty()
                ? Optional.empty()
                : Optional.of(ready.get(balanced++ % ready.size()).name());
    }

    void sent(String name, SentSubmission sent) {
        submissions.put(name, sent);
    }

    /** Returns what was sent under this name. */
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
        return fakes(name).stream().map(NodeView::new).collect(ImmutableList.toImmutableList());
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

    /** One node as it stands. */
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

    /** Something done with two things. */
    @FunctionalInterface
    interface PairEffect {
        void apply(String one, String other);
    }
}
