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
    /** The longest timeout of a status call, so that an unreachable domain does not delay the others. */
    private static final Duration MAX_POLL_TIMEOUT = Duration.ofSeconds(1);

    @Mixin
    private RolloutOptions rolloutOptions;

    /** Applies the change, waits for the rollout, prints it, and returns the exit status. */
    final int applyAndWait(Connection connection, ChangeApplier applier, PlannedChange planned, String summary)
            throws Exception {
        ConfigurationVersion version = submit(applier, planned, summary);
        if (!output().isJson()) {
            output().printLine("accepted as version " + version + ", in place of version " + planned.from());
        }
        boolean canWatch = !connection.adminAddresses().isEmpty()
                && connection.operatorToken().isPresent();
        if (!canWatch) {
            return printUnwatched(version, planned);
        }
        Duration pollTimeout =
                connection.timeout().compareTo(MAX_POLL_TIMEOUT) < 0 ? connection.timeout() : MAX_POLL_TIMEOUT;
        try (AdminNodes nodes = nodes(connection, pollTimeout)) {
            Rollout rollout = new RolloutWatch(nodes, output()::printNote).await(version, rolloutOptions.timeout());
            return printRollout(rollout, planned);
        }
    }

    private ConfigurationVersion submit(ChangeApplier applier, PlannedChange planned, String summary)
            throws StepException {
        try {
            return applier.apply(planned, summary);
        } catch (ChangeConflictException | ChangeOutcomeUnknownException e) {
            throw e;
        } catch (StepException e) {
            output().printNote("not accepted; nothing was changed");
            throw e;
        }
    }

    private int printUnwatched(ConfigurationVersion version, PlannedChange planned) {
        if (output().isJson()) {
            output().printJson(json(version, planned));
        } else {
            output().printNote("no --admin address or no operator token: did not wait until the change is in force");
        }
        return ExitCode.OK.number();
    }

    private int printRollout(Rollout rollout, PlannedChange planned) {
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
            output().printTable(table, "no node answers, so it is unknown where the version is in force");
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
