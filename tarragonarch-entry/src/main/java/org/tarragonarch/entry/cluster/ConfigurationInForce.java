package org.tarragonarch.entry.cluster;

import java.util.Optional;
import java.util.OptionalLong;
import org.tarragonarch.adapter.ConfigurationBody;
import org.tarragonarch.adapter.UnreadableBodyException;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueLookup;
import org.tarragonarch.model.task.Timers;

/** The configuration in force at this node: its versions only rise, whether they come from the store or from peers. */
final class ConfigurationInForce {
    private static final String NO_SOURCE = "none";

    private final Timers timers;
    private final DecisionLog log;
    private Optional<QueueCatalog> catalog = Optional.empty();
    private byte[] text = new byte[0];
    private String source = NO_SOURCE;
    private OptionalLong confirmedAtMillis = OptionalLong.empty();

    ConfigurationInForce(Timers timers, DecisionLog log) {
        this.timers = timers;
        this.log = log;
    }

    Optional<QueueCatalog> catalog() {
        return catalog;
    }

    /** Returns the configuration as the operators wrote it. */
    byte[] text() {
        return text;
    }

    long version() {
        return catalog.map(QueueCatalog::version).orElse(0L);
    }

    /** Returns what is known of the queue that a request names. */
    QueueLookup find(String host, String path) {
        if (catalog.isEmpty()) {
            return QueueLookup.uncertain();
        }
        return catalog.get().find(host, path).map(QueueLookup::found).orElseGet(QueueLookup::unknown);
    }

    /** Returns where the version in force came from: the store, or the name of a peer. */
    String source() {
        return source;
    }

    /** Notes that the store has no newer version now. */
    void confirmed() {
        confirmedAtMillis = OptionalLong.of(timers.nowMillis());
    }

    /** Returns how long ago the store last showed that there was no newer version; empty if it never did. */
    OptionalLong ageMillis() {
        return confirmedAtMillis.isPresent()
                ? OptionalLong.of(timers.nowMillis() - confirmedAtMillis.getAsLong())
                : OptionalLong.empty();
    }

    /** Returns the age as it stands in the log. */
    Object loggedAge() {
        return ageMillis().isPresent() ? ageMillis().getAsLong() : "unconfirmed";
    }

    /** Takes a configuration if it is newer; returns whether it was. */
    boolean offered(byte[] candidate, String from) {
        QueueCatalog read;
        try {
            read = ConfigurationBody.read(candidate);
        } catch (UnreadableBodyException e) {
            log.line(NodeEvent.CONFIGURATION_UNREADABLE, "source", from, "reason", e.getMessage());
            return false;
        }
        if (read.version() <= version()) {
            return false;
        }
        log.line(
                NodeEvent.CONFIGURATION_IN_FORCE,
                "version",
                read.version(),
                "before",
                version(),
                "before-age-ms",
                loggedAge(),
                "source",
                from);
        catalog = Optional.of(read);
        source = from;
        text = candidate;
        return true;
    }
}
