package org.tarragonarch.entry.admin;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.http.BearerToken;
import org.tarragonarch.entry.http.Exchange;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.service.OperatorDefinition;

/** Finds out which operator calls and whether the call is allowed; counts and logs those that are not. */
final class OperatorCheck {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String PORT = "admin";
    private static final String OPERATOR = "operator";

    private final CatalogInForce catalog;
    private final NodeMetrics metrics;

    OperatorCheck(CatalogInForce catalog, NodeMetrics metrics) {
        this.catalog = catalog;
        this.metrics = metrics;
    }

    /** Returns the operator who calls, who may look at everything. */
    OperatorDefinition requireReader(Context context) throws AdminException {
        if (catalog.catalog().isEmpty()) {
            throw new AdminException(new AdminProblem(
                    AdminProblem.UNAVAILABLE,
                    "not-ready",
                    Step.CONFIGURE,
                    "node",
                    "no configuration is in force here, so no operator is known"));
        }
        Optional<OperatorDefinition> operator = BearerToken.digest(context).flatMap(catalog::operator);
        if (operator.isEmpty()) {
            recordRefusal("operator-unauthenticated", Exchange.of(context).remote());
            throw new AdminException(new AdminProblem(
                    AdminProblem.UNAUTHENTICATED,
                    "unauthenticated",
                    Step.AUTHENTICATE,
                    OPERATOR,
                    "the request carries no bearer token of a known operator"));
        }
        return operator.get();
    }

    /** Returns the operator who calls, if that operator may change things. */
    OperatorDefinition requireChanger(Context context) throws AdminException {
        OperatorDefinition operator = requireReader(context);
        if (!operator.role().mayChange()) {
            recordRefusal("operator-forbidden", operator.name().value());
            throw new AdminException(new AdminProblem(
                    AdminProblem.FORBIDDEN,
                    "forbidden",
                    Step.AUTHENTICATE,
                    OPERATOR,
                    "operator " + operator.name() + " may look but not change"));
        }
        return operator;
    }

    private void recordRefusal(String event, String peer) {
        metrics.countAuthenticationFailure(PORT);
        LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("%s", LogLine.of(event, Step.AUTHENTICATE, peer));
    }
}
