package org.tarragonarch.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;

/** Flattens a catalog's definitions to the keys and texts that operators write, so that two can be compared. */
final class DefinitionProperties {
    private static final int SHOWN_DIGEST_DIGITS = 8;

    private DefinitionProperties() {}

    static ImmutableMap<String, ImmutableSortedMap<String, String>> of(ServiceCatalog catalog) {
        ImmutableMap.Builder<String, ImmutableSortedMap<String, String>> facts = ImmutableMap.builder();
        catalog.services().forEach((name, service) -> facts.put("service " + name, ofService(service)));
        catalog.teams()
                .forEach((name, team) -> facts.put(
                        "team " + name,
                        ImmutableSortedMap.of(
                                "weight", Integer.toString(team.weight()),
                                "max-running-tasks", Integer.toString(team.maxRunningTasks()))));
        catalog.callers()
                .forEach((name, caller) -> facts.put(
                        "caller " + name,
                        ImmutableSortedMap.of(
                                "team", caller.team().value(), "token-sha256", shortened(caller.tokenDigest()))));
        catalog.operators()
                .forEach((name, operator) -> facts.put(
                        "operator " + name,
                        ImmutableSortedMap.of(
                                "role", operator.role().word(), "token-sha256", shortened(operator.tokenDigest()))));
        catalog.drainedDomains()
                .forEach(domain -> facts.put("failure domain " + domain, ImmutableSortedMap.of("state", "drained")));
        return facts.buildOrThrow();
    }

    private static ImmutableSortedMap<String, String> ofService(ServiceDefinition service) {
        ImmutableSortedMap.Builder<String, String> facts = ImmutableSortedMap.naturalOrder();
        facts.put("favours", service.favours().word());
        facts.put("callers", Joiner.on(", ").join(ImmutableSortedSet.copyOf(service.callers())));
        facts.put("max-running-tasks", Integer.toString(service.maxRunningTasks()));
        facts.put("max-queued-tasks", Integer.toString(service.maxQueuedTasks()));
        service.kinds().forEach((name, kind) -> addKind("kinds." + name + ".", kind, facts));
        return facts.buildOrThrow();
    }

    private static void addKind(String prefix, KindDefinition kind, ImmutableSortedMap.Builder<String, String> facts) {
        facts.put(prefix + "idempotent", Boolean.toString(kind.idempotent()));
        facts.put(prefix + "max-tasks", Integer.toString(kind.maxTasks()));
        facts.put(prefix + "max-body-bytes", Long.toString(kind.maxBodyBytes()));
        facts.put(prefix + "deadline", DurationText.format(kind.deadline()));
        facts.put(prefix + "expected-run-time", DurationText.format(kind.expectedRunTime()));
    }

    private static String shortened(ContentDigest digest) {
        return digest.hex().substring(0, SHOWN_DIGEST_DIGITS) + "...";
    }
}
