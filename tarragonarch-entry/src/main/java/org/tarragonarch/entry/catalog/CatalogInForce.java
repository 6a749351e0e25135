package org.tarragonarch.entry.catalog;

import java.util.Optional;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.OperatorDefinition;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * The configuration in force, with its tokens indexed for authentication.
 *
 * <p>The control thread sets it; any thread may read it.
 */
public final class CatalogInForce {
    private volatile State state;

    /** Returns an instance with no configuration in force. */
    public static CatalogInForce create() {
        return new CatalogInForce();
    }

    private CatalogInForce() {}

    /** Replaces the configuration in force. */
    public void set(ServiceCatalog catalog) {
        state = new State(
                catalog,
                TokenTable.of(catalog.callers().values(), CallerDefinition::tokenDigest),
                TokenTable.of(catalog.operators().values(), OperatorDefinition::tokenDigest));
    }

    /** Returns the configuration in force, if there is one. */
    public Optional<ServiceCatalog> catalog() {
        return Optional.ofNullable(state).map(State::catalog);
    }

    /** Returns the caller who holds the token with this digest. */
    public Optional<CallerDefinition> caller(ContentDigest token) {
        return Optional.ofNullable(state).flatMap(now -> now.callers.find(token));
    }

    /** Returns the operator who holds the token with this digest. */
    public Optional<OperatorDefinition> operator(ContentDigest token) {
        return Optional.ofNullable(state).flatMap(now -> now.operators.find(token));
    }

    private record State(
            ServiceCatalog catalog, TokenTable<CallerDefinition> callers, TokenTable<OperatorDefinition> operators) {}
}
