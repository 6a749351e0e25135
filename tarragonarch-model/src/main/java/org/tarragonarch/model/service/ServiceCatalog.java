package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;

/**
 * An accepted configuration.
 *
 * @param version the version under which the configuration was accepted
 * @param digest the digest of the configuration's canonical text
 * @param services the services by name
 * @param teams the teams by name
 * @param callers the callers by name
 * @param operators the operators by name
 * @param drainedDomains the failure domains in which no task is started
 */
public record ServiceCatalog(
        ConfigurationVersion version,
        ContentDigest digest,
        ImmutableMap<ServiceName, ServiceDefinition> services,
        ImmutableMap<TeamName, TeamDefinition> teams,
        ImmutableMap<CallerName, CallerDefinition> callers,
        ImmutableMap<OperatorName, OperatorDefinition> operators,
        ImmutableSet<FailureDomain> drainedDomains) {
    /** Checks that no component is null. */
    public ServiceCatalog {
        checkNotNull(version, "version");
        checkNotNull(digest, "digest");
        checkNotNull(services, "services");
        checkNotNull(teams, "teams");
        checkNotNull(callers, "callers");
        checkNotNull(operators, "operators");
        checkNotNull(drainedDomains, "drainedDomains");
    }

    /** Returns the service with this name, if there is one. */
    public Optional<ServiceDefinition> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the caller with this name, if there is one. */
    public Optional<CallerDefinition> caller(CallerName name) {
        return Optional.ofNullable(callers.get(name));
    }

    /** Returns the team with this name, if there is one. */
    public Optional<TeamDefinition> team(TeamName name) {
        return Optional.ofNullable(teams.get(name));
    }
}
