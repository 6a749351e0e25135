package org.tarragonarch.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;

/** Flattens the definitions of a catalog to keys and values as configuration files state them, for comparison. */
final class DefinitionProperties {
    private static final int SHOWN_DIGEST_DIGITS = 8;

    private DefinitionProperties() {}

    static ImmutableMap<String, ImmutableSortedMap<String, String>> of(ServiceCatalog catalog) {
        ImmutableMap.Builder<String, ImmutableSortedMap<String, String>> properties = ImmutableMap.builder();
        catalog.services().forEach((name, service) -> properties.put("service " + name, ofService(service)));
        catalog.teams()
                .forEach((name, team) -> properties.put(
                        "team " + name,
                        ImmutableSortedMap.of(
                                "weight", Integer.toString(team.weight()),
                                "max-running-tasks", Integer.toString(team.maxRunningTasks()))));
        catalog.callers()
                .forEach((name, caller) -> properties.put(
                        "caller " + name,
                        ImmutableSortedMap.of(
                                "team", caller.team().value(), "token-sha256", shortened(caller.tokenDigest()))));
        catalog.operators()
                .forEach((name, operator) -> properties.put(
                        "operator " + name,
                        ImmutableSortedMap.of(
                                "role", operator.role().word(), "token-sha256", shortened(operator.tokenDigest()))));
        catalog.drainedDomains()
                .forEach(domain ->
                        properties.put("failure domain " + domain, ImmutableSortedMap.of("state", "drained")));
        return properties.buildOrThrow();
    }

    private static ImmutableSortedMap<String, String> ofService(ServiceDefinition service) {
        ImmutableSortedMap.Builder<String, String> properties = ImmutableSortedMap.naturalOrder();
        properties.put("favours", service.favours().word());
        properties.put("callers", Joiner.on(", ").join(ImmutableSortedSet.copyOf(service.callers())));
        properties.put("max-running-tasks", Integer.toString(service.maxRunningTasks()));
        properties.put("max-queued-tasks", Integer.toString(service.maxQueuedTasks()));
        service.kinds().forEach((name, kind) -> addKind("kinds." + name + ".", kind, properties));
        return properties.buildOrThrow();
    }

    private static void addKind(
            String prefix, KindDefinition kind, ImmutableSortedMap.Builder<String, String> properties) {
        properties.put(prefix + "idempotent", Boolean.toString(kind.idempotent()));
        properties.put(prefix + "max-tasks", Integer.toString(kind.maxTasks()));
        properties.put(prefix + "max-body-bytes", Long.toString(kind.maxBodyBytes()));
        properties.put(prefix + "deadline", DurationText.format(kind.deadline()));
        properties.put(prefix + "expected-run-time", DurationText.format(kind.expectedRunTime()));
    }

    private static String shortened(ContentDigest digest) {
        return digest.hex().substring(0, SHOWN_DIGEST_DIGITS) + "...";
    }
}
