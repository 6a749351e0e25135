package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.ServiceObjective;
import org.tarragonarch.model.service.TeamDefinition;

/** The small configuration that the explorer and the scenarios use. */
public final class SampleCatalog {
    /** The only service. */
    public static final ServiceName SERVICE = ServiceName.of("proof-board");
    /** A kind whose tasks may run more than once. */
    public static final KindName IDEMPOTENT = KindName.of("spelling");
    /** A kind whose tasks must run at most once. */
    public static final KindName NON_IDEMPOTENT = KindName.of("word-count");
    /** The only caller. */
    public static final CallerName CALLER = CallerName.of("upload-page");
    /** The time allowed for a submission that states none. */
    public static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);

    private static final TeamName TEAM = TeamName.of("proofreaders");
    private static final int AMPLE_LIMIT = 1_000;

    private SampleCatalog() {}

    /** Returns the configuration with a version; even versions differ from odd ones in the service's objective. */
    public static ServiceCatalog withVersion(long version) {
        ServiceDefinition service = new ServiceDefinition(
                SERVICE,
                version % 2 == 0 ? ServiceObjective.FEW_MESSAGES : ServiceObjective.RESPONSE_TIME,
                ImmutableMap.of(IDEMPOTENT, kind(IDEMPOTENT, true), NON_IDEMPOTENT, kind(NON_IDEMPOTENT, false)),
                ImmutableSet.of(CALLER),
                AMPLE_LIMIT,
                AMPLE_LIMIT);
        byte[] text = ("version " + version).getBytes(StandardCharsets.UTF_8);
        return new ServiceCatalog(
                ConfigurationVersion.of(version),
                ContentDigest.of(text),
                ImmutableMap.copyOf(Map.of(SERVICE, service)),
                ImmutableMap.of(TEAM, new TeamDefinition(TEAM, 1, AMPLE_LIMIT)),
                ImmutableMap.of(CALLER, new CallerDefinition(CALLER, TEAM, ContentDigest.of(text))),
                ImmutableMap.of(),
                ImmutableSet.of());
    }

    private static KindDefinition kind(KindName name, boolean idempotent) {
        return new KindDefinition(name, idempotent, 110, 1 << 20, DEFAULT_DEADLINE, Duration.ofMillis(200));
    }
}
