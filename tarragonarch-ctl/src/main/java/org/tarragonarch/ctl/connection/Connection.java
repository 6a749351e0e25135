package org.tarragonarch.ctl.connection;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.OperatorName;

/**
 * The addresses and credentials that the operator program uses.
 *
 * @param adminAddresses the administration addresses of some nodes, preferably in each failure domain
 * @param platformAddress the address of the platform, for configuration changes without a node
 * @param operator the operator recorded in the audit trail for changes made at the platform
 * @param operatorToken the secret token for the administration API
 * @param callerAddress the caller address of a node, used by {@code submit}
 * @param callerToken the secret token of the caller
 * @param timeout the timeout of a call
 */
public record Connection(
        ImmutableList<Address> adminAddresses,
        Optional<Address> platformAddress,
        Optional<OperatorName> operator,
        Optional<String> operatorToken,
        Optional<Address> callerAddress,
        Optional<String> callerToken,
        Duration timeout) {
    /** Creates a connection. */
    public Connection {
        checkNotNull(adminAddresses, "adminAddresses");
        checkNotNull(platformAddress, "platformAddress");
        checkNotNull(operator, "operator");
        checkNotNull(operatorToken, "operatorToken");
        checkNotNull(callerAddress, "callerAddress");
        checkNotNull(callerToken, "callerToken");
        checkNotNull(timeout, "timeout");
    }

    /** Returns a description without the tokens. */
    @Override
    public String toString() {
        return "Connection[admin " + adminAddresses + ", platform " + platformAddress + ", caller " + callerAddress
                + "]";
    }
}
