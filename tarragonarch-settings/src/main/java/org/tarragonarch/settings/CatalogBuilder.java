package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.OperatorDefinition;
import org.tarragonarch.model.service.OperatorRole;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.ServiceObjective;
import org.tarragonarch.model.service.TeamDefinition;

/** Builds a catalog from a merged configuration, and records invalid values and references to unknown names. */
final class CatalogBuilder {
    /** The key that lists the failure domains on whose endpoints no task is started. */
    static final String DRAINED_DOMAINS = "drained-domains";

    static final int MAX_TASKS = 1_000_000;
    static final int MAX_TASKS_PER_JOB = 10_000;
    static final int MAX_WEIGHT = 1_000;
    static final long MAX_BODY_BYTES = 64L << 20;
    static final Duration MAX_DEADLINE = Duration.ofHours(1);

    static final int DEFAULT_WEIGHT = 1;
    static final int DEFAULT_MAX_QUEUED_TASKS = 5_000;
    static final int DEFAULT_MAX_TASKS = 1;
    static final long DEFAULT_MAX_BODY_BYTES = 1L << 20;
    static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
    static final Duration DEFAULT_EXPECTED_RUN_TIME = Duration.ofMillis(200);

    private final SettingsObject root;

    CatalogBuilder(SettingsObject root) {
        this.root = root;
    }

    /** Returns the catalog, which is valid only if no mistake was recorded. */
    ServiceCatalog build(ConfigurationVersion version, ContentDigest digest) {
        ImmutableMap<TeamName, TeamDefinition> teams = teams();
        ImmutableMap<CallerName, CallerDefinition> callers = callers(teams);
        ImmutableMap<OperatorName, OperatorDefinition> operators = operators();
        ImmutableMap<ServiceName, ServiceDefinition> services = services(callers);
        ImmutableSet<FailureDomain> drainedDomains = drainedDomains();
        root.reportUnknownKeys();
        return new ServiceCatalog(version, digest, services, teams, callers, operators, drainedDomains);
    }

    private ImmutableSet<FailureDomain> drainedDomains() {
        ImmutableSet.Builder<FailureDomain> domains = ImmutableSet.builder();
        for (String text : root.texts(DRAINED_DOMAINS)) {
            try {
                domains.add(FailureDomain.of(text));
            } catch (IllegalArgumentException e) {
                root.addMistake(DRAINED_DOMAINS, "contains '" + text + "', which is not a valid name");
            }
        }
        return domains.build();
    }

    private ImmutableMap<TeamName, TeamDefinition> teams() {
        ImmutableMap.Builder<TeamName, TeamDefinition> teams = ImmutableMap.builder();
        root.objects("teams").forEach((text, settings) -> {
            TeamName name = TeamName.of(text);
            int weight = settings.integer("weight", 1, MAX_WEIGHT, DEFAULT_WEIGHT);
            int maxRunningTasks = settings.integer("max-running-tasks", 1, MAX_TASKS);
            settings.reportUnknownKeys();
            teams.put(name, new TeamDefinition(name, weight, maxRunningTasks));
        });
        return teams.buildOrThrow();
    }

    private ImmutableMap<CallerName, CallerDefinition> callers(ImmutableMap<TeamName, TeamDefinition> teams) {
        ImmutableMap.Builder<CallerName, CallerDefinition> callers = ImmutableMap.builder();
        Map<ContentDigest, String> owners = new HashMap<>();
        root.objects("callers").forEach((text, settings) -> {
            CallerName name = CallerName.of(text);
            TeamName team = team(settings, teams);
            ContentDigest token = token(settings, owners);
            settings.reportUnknownKeys();
            callers.put(name, new CallerDefinition(name, team, token));
        });
        return callers.buildOrThrow();
    }

    private static TeamName team(SettingsObject settings, ImmutableMap<TeamName, TeamDefinition> teams) {
        String text = settings.text("team");
        Optional<TeamName> found = teams.keySet().stream()
                .filter(team -> team.value().equals(text))
                .findFirst();
        if (found.isEmpty() && !text.isEmpty()) {
            settings.addMistake(
                    "team", "refers to the team '" + text + "', which is not defined", suggest(text, teams));
        }
        return found.orElse(TeamName.of("unknown"));
    }

    private ImmutableMap<OperatorName, OperatorDefinition> operators() {
        ImmutableMap.Builder<OperatorName, OperatorDefinition> operators = ImmutableMap.builder();
        Map<ContentDigest, String> owners = new HashMap<>();
        root.objects("operators").forEach((text, settings) -> {
            OperatorName name = OperatorName.of(text);
            OperatorRole role = settings.choice(
                    "role", ImmutableList.copyOf(OperatorRole.values()), OperatorRole::word, Optional.empty());
            ContentDigest token = token(settings, owners);
            settings.reportUnknownKeys();
            operators.put(name, new OperatorDefinition(name, role, token));
        });
        return operators.buildOrThrow();
    }

    /** Reads the digest of a token, which must be unique: a shared token would let one owner act as the other. */
    private static ContentDigest token(SettingsObject settings, Map<ContentDigest, String> owners) {
        String key = "token-sha256";
        String text = settings.text(key);
        ContentDigest digest;
        try {
            digest = new ContentDigest(text);
        } catch (IllegalArgumentException e) {
            if (!text.isEmpty()) {
                settings.addMistake(
                        key,
                        "is not a SHA-256 digest of 64 lower-case hexadecimal digits; create one with"
                                + " 'tarragonctl token'");
            }
            return ContentDigest.of(new byte[0]);
        }
        String earlier = owners.putIfAbsent(digest, settings.path());
        if (earlier != null) {
            settings.addMistake(key, "is the same as that of " + earlier + "; tokens must be unique");
        }
        return digest;
    }

    private ImmutableMap<ServiceName, ServiceDefinition> services(ImmutableMap<CallerName, CallerDefinition> callers) {
        ImmutableMap.Builder<ServiceName, ServiceDefinition> services = ImmutableMap.builder();
        root.objects("services").forEach((text, settings) -> {
            ServiceName name = ServiceName.of(text);
            ServiceObjective favours = settings.choice(
                    "favours",
                    ImmutableList.copyOf(ServiceObjective.values()),
                    ServiceObjective::word,
                    Optional.of(ServiceObjective.RESPONSE_TIME));
            ImmutableSet<CallerName> allowed = allowedCallers(settings, callers);
            int running = settings.integer("max-running-tasks", 1, MAX_TASKS);
            int queued = settings.integer("max-queued-tasks", 0, MAX_TASKS, DEFAULT_MAX_QUEUED_TASKS);
            ImmutableMap<KindName, KindDefinition> kinds = kinds(settings);
            settings.reportUnknownKeys();
            services.put(name, new ServiceDefinition(name, favours, kinds, allowed, running, queued));
        });
        return services.buildOrThrow();
    }

    private static ImmutableSet<CallerName> allowedCallers(
            SettingsObject settings, ImmutableMap<CallerName, CallerDefinition> callers) {
        ImmutableSet.Builder<CallerName> allowed = ImmutableSet.builder();
        ImmutableSet<String> known =
                callers.keySet().stream().map(CallerName::value).collect(ImmutableSet.toImmutableSet());
        for (String text : settings.texts("callers")) {
            if (known.contains(text)) {
                allowed.add(CallerName.of(text));
            } else {
                settings.addMistake(
                        "callers",
                        "refers to the caller '" + text + "', which is not defined",
                        SpellingSuggestion.of(text, known));
            }
        }
        if (!settings.has("callers")) {
            settings.addMistake("callers", "is missing");
        }
        return allowed.build();
    }

    private static ImmutableMap<KindName, KindDefinition> kinds(SettingsObject service) {
        ImmutableMap.Builder<KindName, KindDefinition> kinds = ImmutableMap.builder();
        ImmutableMap<String, SettingsObject> named = service.objects("kinds");
        if (named.isEmpty()) {
            service.addMistake("kinds", "defines no kind, so the service would accept no submission");
        }
        named.forEach((text, settings) -> {
            KindName name = KindName.of(text);
            kinds.put(name, kind(name, settings));
        });
        return kinds.buildOrThrow();
    }

    private static KindDefinition kind(KindName name, SettingsObject settings) {
        boolean idempotent = settings.bool("idempotent");
        int maxTasks = settings.integer("max-tasks", 1, MAX_TASKS_PER_JOB, DEFAULT_MAX_TASKS);
        long maxBodyBytes = settings.longInteger("max-body-bytes", 0, MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
        Duration deadline = settings.positiveDuration("deadline", DEFAULT_DEADLINE);
        Duration expected = settings.duration("expected-run-time", DEFAULT_EXPECTED_RUN_TIME);
        settings.reportUnknownKeys();
        if (deadline.compareTo(MAX_DEADLINE) > 0) {
            settings.addMistake("deadline", "is longer than " + DurationText.format(MAX_DEADLINE));
        }
        if (expected.compareTo(deadline) > 0) {
            settings.addMistake(
                    "expected-run-time",
                    DurationText.format(expected) + " is longer than the deadline, " + DurationText.format(deadline)
                            + ", so no request could complete in time");
        }
        return new KindDefinition(name, idempotent, maxTasks, maxBodyBytes, deadline, expected);
    }

    private static Optional<String> suggest(String text, ImmutableMap<TeamName, TeamDefinition> teams) {
        return SpellingSuggestion.of(
                text, teams.keySet().stream().map(TeamName::value).collect(ImmutableList.toImmutableList()));
    }
}
