package org.tarragonarch.ctl.connection;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.OperatorName;

/**
 * Where the operator program finds the system, and in whose name it calls.
 *
 * @param adminAddresses the administration ports of some nodes, best of each failure domain
 * @param platformAddress the platform, to change the configuration where no node has one yet
 * @param operator the name that the audit trail shows for a change made through the platform
 * @param operatorToken the operator's secret token for the administration API
 * @param callerAddress the caller port that {@code submit} uses
 * @param callerToken the caller's secret token
 * @param timeout how long one call may take
 */
public record Connection(
        ImmutableList<Address> adminAddresses,
        Optional<Address> platformAddress,
        Optional<OperatorName> operator,
        Optional<String> operatorToken,
        Optional<Address> callerAddress,
        Optional<String> callerToken,
        Duration timeout) {
    /** Checks the parts. */
    public Connection {
        checkNotNull(adminAddresses, "adminAddresses");
        checkNotNull(platformAddress, "platformAddress");
        checkNotNull(operator, "operator");
        checkNotNull(operatorToken, "operatorToken");
        checkNotNull(callerAddress, "callerAddress");
        checkNotNull(callerToken, "callerToken");
        checkNotNull(timeout, "timeout");
    }

    /** Returns a text without the tokens. */
    @Override
    public String toString() {
        return "Connection[admin " + adminAddresses + ", platform " + platformAddress + ", caller " + callerAddress
                + "]";
    }
}
