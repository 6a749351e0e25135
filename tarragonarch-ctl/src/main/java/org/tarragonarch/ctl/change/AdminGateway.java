package org.tarragonarch.ctl.change;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import org.tarragonarch.ctl.admin.AdminCall;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.ChangeRequest;
import org.tarragonarch.ctl.admin.ConfigurationView;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.platform.AuditRecord;

/** Accesses the accepted configurations through the administration API of the nodes. */
public final class AdminGateway implements ConfigurationGateway {
    private final AdminNodes nodes;

    /** Creates a gateway that calls the given nodes, which the caller must close. */
    public AdminGateway(AdminNodes nodes) {
        this.nodes = nodes;
    }

    @Override
    public ConfigurationView newest() throws AdminException {
        ImmutableList<AdminResult<ConfigurationView>> answers = nodes.callAll(AdminClient::configuration);
        // A node without access to the store may have an older version in force.
        return answers.stream()
                .flatMap(answer -> answer.value().stream())
                .max(Comparator.comparing(ConfigurationView::version))
                .orElseThrow(() -> answers.get(0).failure().orElseThrow());
    }

    @Override
    public ConfigurationView load(ConfigurationVersion version) throws AdminException {
        return first(client -> client.configuration(version));
    }

    /**
     * Calls the nodes in order until one accepts or refuses the change. The change id is the same in every call, so
     * that a change whose reply was lost is not accepted twice.
     */
    @Override
    public ConfigurationVersion accept(ChangeRequest change) throws StepException {
        AdminException last = null;
        boolean mayHaveApplied = false;
        for (AdminClient client : nodes.clients()) {
            try {
                return client.accept(change);
            } catch (AdminException e) {
                if (e.isConflict()) {
                    throw new ChangeConflictException(e.peer(), e.getMessage());
                }
                last = e;
                mayHaveApplied |= e.mayHaveApplied();
                if (!e.isInconclusive()) {
                    break;
                }
            }
        }
        throw mayHaveApplied ? new ChangeOutcomeUnknownException(change.changeId(), last) : last;
    }

    @Override
    public ImmutableList<AuditRecord> audit(int limit) throws AdminException {
        return first(client -> client.audit(limit));
    }

    private <T> T first(AdminCall<T> call) throws AdminException {
        AdminException last = null;
        for (AdminClient client : nodes.clients()) {
            try {
                return call.call(client);
            } catch (AdminException e) {
                if (!e.isInconclusive()) {
                    throw e;
                }
                last = e;
            }
        }
        throw last;
    }
}
