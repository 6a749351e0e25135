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
 * How far a version has come in every failure domain, as some nodes tell of themselves and of their peers.
 *
 * <p>What a node says of itself counts over what peers say of it. A node that was not asked, or did not answer, counts
 * as reached if any peer had a report of it lately; so a few administration addresses show the whole system.
 *
 * @param version the version
 * @param domains the failure domains, by name
 * @param failures why addresses that were asked did not answer
 */
public record Rollout(
        ConfigurationVersion version, ImmutableList<DomainRollout> domains, ImmutableList<String> failures) {
    private static final String LEFT = "left";

    /** Checks the parts. */
    public Rollout {
        checkNotNull(version, "version");
        checkNotNull(domains, "domains");
        checkNotNull(failures, "silent");
    }

    /** Returns how far the version has come according to these answers. */
    public static Rollout of(ConfigurationVersion version, List<AdminResult<NodeView>> answers) {
        Map<String, Sighting> sightings = new TreeMap<>();
        for (AdminResult<NodeView> answer : answers) {
            answer.value()
                    .ifPresent(view -> view.peers().stream()
                            .filter(peer -> !peer.phase().equals(LEFT))
                            .forEach(peer -> sightings.merge(peer.node(), Sighting.of(peer), Sighting::better)));
        }
        for (AdminResult<NodeView> answer : answers) {
            answer.value().ifPresent(view -> sightings.put(view.node(), Sighting.of(view)));
        }
        ImmutableList<String> silent = answers.stream()
                .flatMap(answer -> answer.failure().stream())
                .map(AdminException::getMessage)
                .collect(ImmutableList.toImmutableList());
        return new Rollout(version, domains(version, sightings), silent);
    }

    /**
     * Returns whether the version is in force everywhere, as far as can be known: every address that was asked
     * answered, and every node known has the version.
     *
     * <p>An address that does not answer may be that of a node that no peer knows yet; it would be missed.
     */
    public boolean isComplete() {
        return failures.isEmpty()
                && !domains.isEmpty()
                && domains.stream().allMatch(domain -> domain.state() == RolloutState.IN_FORCE);
    }

    /** Returns one line of progress, such as {@code hobart 2/2, devonport 0/1}. */
    public String progress() {
        String reached = domains.stream()
                .map(domain -> domain.domain() + " " + domain.inForce().size() + "/" + domain.nodeCount())
                .collect(Collectors.joining(", "));
        String missing = failures.isEmpty() ? "" : "no answer from " + failures.size() + " address(es)";
        return reached.isEmpty() || missing.isEmpty() ? reached + missing : reached + ", " + missing;
    }

    private static ImmutableList<DomainRollout> domains(ConfigurationVersion version, Map<String, Sighting> sightings) {
        ImmutableSortedSet<String> names = sightings.values().stream()
                .map(Sighting::domain)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
        return names.stream()
                .map(name -> new DomainRollout(
                        name,
                        nodes(sightings, name, sighting -> sighting.reached() && sighting.has(version)),
                        nodes(sightings, name, sighting -> sighting.reached() && !sighting.has(version)),
                        nodes(sightings, name, sighting -> !sighting.reached())))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<String> nodes(
            Map<String, Sighting> sightings, String domain, Predicate<Sighting> condition) {
        return sightings.entrySet().stream()
                .filter(entry -> entry.getValue().domain().equals(domain))
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** What is known of one node. */
    private record Sighting(String domain, boolean reached, ConfigurationVersion configuration) {
        static Sighting of(NodeView view) {
            return new Sighting(view.domain(), true, view.configuration());
        }

        static Sighting of(PeerView peer) {
            return new Sighting(peer.domain(), peer.alive(), peer.configuration());
        }

        boolean has(ConfigurationVersion version) {
            return !version.newerThan(configuration);
        }

        Sighting better(Sighting other) {
            if (reached != other.reached) {
                return reached ? this : other;
            }
            return other.configuration.newerThan(configuration) ? other : this;
        }
    }
}
