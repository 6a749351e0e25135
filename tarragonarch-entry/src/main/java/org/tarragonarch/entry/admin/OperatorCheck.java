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

/** Authenticates and authorizes operators; counts and logs refused requests. */
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

    /**
     * Returns the operator who sent the request. Every operator may read.
     *
     * @throws AdminException if no configuration is in force or the token is not that of an operator
     */
    OperatorDefinition requireReader(Context context) throws AdminException {
        if (catalog.catalog().isEmpty()) {
            throw new AdminException(new AdminProblem(
                    AdminProblem.UNAVAILABLE,
                    "not-ready",
                    Step.CONFIGURE,
                    "node",
                    "no configuration is in force at this node, so operators cannot be authenticated"));
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

    /**
     * Returns the operator who sent the request, who may make changes.
     *
     * @throws AdminException as {@link #requireReader}, or if the operator may only read
     */
    OperatorDefinition requireChanger(Context context) throws AdminException {
        OperatorDefinition operator = requireReader(context);
        if (!operator.role().mayChange()) {
            recordRefusal("operator-forbidden", operator.name().value());
            throw new AdminException(new AdminProblem(
                    AdminProblem.FORBIDDEN,
                    "forbidden",
                    Step.AUTHENTICATE,
                    OPERATOR,
                    "operator " + operator.name() + " may read but not make changes"));
        }
        return operator;
    }

    private void recordRefusal(String event, String peer) {
        metrics.countAuthenticationFailure(PORT);
        LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("%s", LogLine.of(event, Step.AUTHENTICATE, peer));
    }
}
