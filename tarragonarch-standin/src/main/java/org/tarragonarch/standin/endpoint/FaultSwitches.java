package org.tarragonarch.standin.endpoint;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tarragonarch.standin.http.HttpExchange;

/** The active faults of an endpoint. */
final class FaultSwitches {
    private final List<Fault> faults = new CopyOnWriteArrayList<>();

    void switchOn(String name, HttpExchange exchange) {
        faults.add(new Fault(
                FaultType.of(name),
                exchange.query("kind"),
                exchange.query("ms").map(Long::parseLong).orElse(0L),
                exchange.query("count").map(Integer::parseInt).orElse(Integer.MAX_VALUE)));
    }

    void clear() {
        faults.clear();
    }

    /** Returns the fault to apply to a task whose request was read, and counts its use. */
    Optional<Fault> takeFault(String kind) {
        return faults.stream()
                .filter(fault -> fault.type() != FaultType.CLOSE_BEFORE_READ)
                .filter(fault -> fault.tryApply(kind))
                .findFirst();
    }

    /** Returns whether to close a connection after the head of a request, with the body unread. */
    boolean shouldCloseUnread() {
        return faults.stream()
                .filter(fault -> fault.type() == FaultType.CLOSE_BEFORE_READ)
                .anyMatch(fault -> fault.tryApply(""));
    }
}
