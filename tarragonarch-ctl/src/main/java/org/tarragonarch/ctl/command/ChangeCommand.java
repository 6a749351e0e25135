package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.change.ChangeApplier;
import org.tarragonarch.ctl.change.ChangeConflictException;
import org.tarragonarch.ctl.change.ChangeOutcomeUnknownException;
import org.tarragonarch.ctl.change.DomainRollout;
import org.tarragonarch.ctl.change.PlannedChange;
import org.tarragonarch.ctl.change.Rollout;
import org.tarragonarch.ctl.change.RolloutWatch;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.StepException;
import picocli.CommandLine.Mixin;

/** A command that changes the configuration and waits until the change is in force everywhere. */
abstract class ChangeCommand extends ConnectedCommand {
    /** One look at the nodes must be short, so that a domain that is cut off does not hold up the rest of the wait. */
    private static final Duration LONGEST_LOOK = Duration.ofSeconds(1);

    @Mixin
    private RolloutOptions rolloutOptions;

    /** Has the change accepted, waits, and prints how far it came. */
    final int applyAndWait(Connection connection, ChangeApplier maker, PlannedChange planned, String summary)
            throws Exception {
        ConfigurationVersion version = accepted(maker, planned, summary);
        if (!output().isJson()) {
            output().printLine("accepted as version " + version + ", in place of version " + planned.from());
        }
        boolean nodesKnown = !connection.adminAddresses().isEmpty()
                && connection.operatorToken().isPresent();
        if (!nodesKnown) {
            return tellUnwatched(version, planned);
        }
        Duration look = connection.timeout().compareTo(LONGEST_LOOK) < 0 ? connection.timeout() : LONGEST_LOOK;
        try (AdminNodes nodes = nodes(connection, look)) {
            Rollout rollout = new RolloutWatch(nodes, output()::printNote).await(version, rolloutOptions.timeout());
            return tell(rollout, planned);
        }
    }

    private ConfigurationVersion accepted(ChangeApplier maker, PlannedChange planned, String summary)
            throws StepException {
        try {
            return maker.apply(planned, summary);
        } catch (ChangeConflictException | ChangeOutcomeUnknownException e) {
            throw e;
        } catch (StepException e) {
            output().printNote("not accepted; nothing was changed");
            throw e;
        }
    }

    private int tellUnwatched(ConfigurationVersion version, PlannedChange planned) {
        if (output().isJson()) {
            output().printJson(json(version, planned));
        } else {
            output().printNote("no --admin address and operator token: not watched into force");
        }
        return ExitCode.OK.number();
    }

    private int tell(Rollout rollout, PlannedChange planned) {
        Table table = Table.of("domain", "state", "in-force", "nodes", "missing");
        for (DomainRollout domain : rollout.domains()) {
            table.row(
                    domain.domain(),
                    domain.state().words(),
                    domain.inForce().size(),
                    domain.nodeCount(),
                    domain.describeMissing());
        }
        rollout.failures().forEach(output()::printNote);
        if (output().isJson()) {
            ObjectNode json = json(rollout.version(), planned);
            json.put("in-force-everywhere", rollout.isComplete());
            json.set("domains", table.toJson());
            output().printJson(json);
        } else {
            output().printTable(table, "no node answers, so it cannot be said where the version is in force");
        }
        return rollout.isComplete() ? ExitCode.OK.number() : ExitCode.NOT_IN_FORCE.number();
    }

    private static ObjectNode json(ConfigurationVersion version, PlannedChange planned) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", version.value())
                .put("from", planned.from().value());
    }
}
