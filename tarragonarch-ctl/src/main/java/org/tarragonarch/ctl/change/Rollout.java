package org.tarragonarch.ctl.change;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.admin.PeerView;
import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * The rollout of a version in every failure domain, from the status of some nodes and their view of their peers.
 *
 * <p>A node's own status takes precedence over what peers report of it. A node that was not called or did not answer
 * counts as reachable if any peer recently received a report from it, so that a few administration addresses are
 * enough to see the whole system.
 *
 * @param version the version
 * @param domains the failure domains, sorted by name
 * @param failures a message for each address that did not answer
 */
public record Rollout(
        ConfigurationVersion version, ImmutableList<DomainRollout> domains, ImmutableList<String> failures) {
    private static final String LEFT = "left";

    /** Creates a rollout. */
    public Rollout {
        checkNotNull(version, "version");
        checkNotNull(domains, "domains");
        checkNotNull(failures, "failures");
    }

    /** Returns the rollout of a version according to the status of some nodes. */
    public static Rollout of(ConfigurationVersion version, List<AdminResult<NodeView>> answers) {
        Map<String, NodeState> states = new TreeMap<>();
        for (AdminResult<NodeView> answer : answers) {
            answer.value()
                    .ifPresent(view -> view.peers().stream()
                            .filter(peer -> !peer.phase().equals(LEFT))
                            .forEach(peer -> states.merge(peer.node(), NodeState.of(peer), NodeState::preferred)));
        }
        for (AdminResult<NodeView> answer : answers) {
            answer.value().ifPresent(view -> states.put(view.node(), NodeState.of(view)));
        }
        ImmutableList<String> failures = answers.stream()
                .flatMap(answer -> answer.failure().stream())
                .map(AdminException::getMessage)
                .collect(ImmutableList.toImmutableList());
        return new Rollout(version, domains(version, states), failures);
    }

    /**
     * Returns whether the version is in force at every known node and every address answered.
     *
     * <p>An address that does not answer may belong to a node that no peer knows yet.
     */
    public boolean isComplete() {
        return failures.isEmpty()
                && !domains.isEmpty()
                && domains.stream().allMatch(domain -> domain.state() == RolloutState.IN_FORCE);
    }

    /** Returns the progress as one line, such as {@code hobart 2/2, devonport 0/1}. */
    public String progress() {
        String inForce = domains.stream()
                .map(domain -> domain.domain() + " " + domain.inForce().size() + "/" + domain.nodeCount())
                .collect(Collectors.joining(", "));
        String missing = failures.isEmpty() ? "" : "no answer from " + failures.size() + " address(es)";
        return inForce.isEmpty() || missing.isEmpty() ? inForce + missing : inForce + ", " + missing;
    }

    private static ImmutableList<DomainRollout> domains(ConfigurationVersion version, Map<String, NodeState> states) {
        ImmutableSortedSet<String> names = states.values().stream()
                .map(NodeState::domain)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
        return names.stream()
                .map(name -> new DomainRollout(
                        name,
                        nodes(states, name, state -> state.reachable() && state.has(version)),
                        nodes(states, name, state -> state.reachable() && !state.has(version)),
                        nodes(states, name, state -> !state.reachable())))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<String> nodes(
            Map<String, NodeState> states, String domain, Predicate<NodeState> condition) {
        return states.entrySet().stream()
                .filter(entry -> entry.getValue().domain().equals(domain))
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** The latest known state of a node. */
    private record NodeState(String domain, boolean reachable, ConfigurationVersion configuration) {
        static NodeState of(NodeView view) {
            return new NodeState(view.domain(), true, view.configuration());
        }

        static NodeState of(PeerView peer) {
            return new NodeState(peer.domain(), peer.alive(), peer.configuration());
        }

        boolean has(ConfigurationVersion version) {
            return !version.isNewerThan(configuration);
        }

        NodeState preferred(NodeState other) {
            if (reachable != other.reachable) {
                return reachable ? this : other;
            }
            return other.configuration.isNewerThan(configuration) ? other : this;
        }
    }
}
