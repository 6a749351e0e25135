package org.tarragonarch.entry.cluster;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.tarragonarch.adapter.ConfigurationBody;
import org.tarragonarch.adapter.UnreadableBodyException;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.QueueLookup;
import org.tarragonarch.model.task.Timers;

/** The configuration in force at this node: its versions only rise, whether they come from the store or from peers. */
final class ConfigurationInForce {
    /** The source of a version that the store gave. */
    static final String STORE = "store";

    private static final String NO_SOURCE = "none";

    private final long maxAgeMillis;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final DecisionLog log;
    private Optional<QueueCatalog> catalog = Optional.empty();
    private byte[] text = new byte[0];
    private String source = NO_SOURCE;
    private boolean storedVersionUnreadable;
    private OptionalLong confirmedAtMillis = OptionalLong.empty();
    private long confirmedAtWallMillis;

    /**
     * Creates one without a configuration.
     *
     * @param boundMillis how soon a change must be in force, so how old a confirmation may be
     * @param wallMillis the time of day, which shows that the VM was suspended
     */
    ConfigurationInForce(long boundMillis, Timers timers, LongSupplier wallMillis, DecisionLog log) {
        this.maxAgeMillis = boundMillis;
        this.timers = timers;
        this.wallMillis = wallMillis;
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

    /**
     * Returns what is known of the queue that a request names.
     *
     * <p>Guards against "no such queue" for a queue that was added while this node could not hear of it: the store was
     * away, the way to it cut, this process or its VM paused, or the configuration came from a peer that may be cut off
     * itself. Such an answer is final, and the client goes away. Nobody was promised that a change is in force sooner
     * than the bound, so a confirmation younger than that vouches for the answer. A queue that is known is served
     * whatever the age, as a failure domain that is cut off has to.
     */
    QueueLookup find(String host, String path) {
        Optional<QueueDefinition> queue = catalog.flatMap(known -> known.find(host, path));
        if (queue.isPresent()) {
            return QueueLookup.found(queue.get());
        }
        return isCurrent() ? QueueLookup.unknown() : QueueLookup.uncertain();
    }

    private boolean isCurrent() {
        OptionalLong age = ageMillis();
        return catalog.isPresent() && age.isPresent() && age.getAsLong() <= maxAgeMillis;
    }

    /** Returns where the version in force came from: the store, or the name of a peer. */
    String source() {
        return source;
    }

    /**
     * Notes that the store had no newer version than it has given, at a moment of the steady clock.
     *
     * <p>One that this node cannot read may have queues that the version in force has not, and confirms nothing.
     */
    void confirm(long asOfMillis) {
        if (storedVersionUnreadable) {
            return;
        }
        confirmedAtMillis = OptionalLong.of(asOfMillis);
        confirmedAtWallMillis = wallMillis.getAsLong() - (timers.nowMillis() - asOfMillis);
    }

    /**
     * Returns how long ago the store last showed that there was no newer version; empty if it never did.
     *
     * <p>The steady clock stops while a VM is suspended, and the time of day may be set; the longer of the two
     * times is never too short, and too long only until the next confirmation.
     */
    OptionalLong ageMillis() {
        if (confirmedAtMillis.isEmpty()) {
            return OptionalLong.empty();
        }
        long steady = timers.nowMillis() - confirmedAtMillis.getAsLong();
        long wall = wallMillis.getAsLong() - confirmedAtWallMillis;
        return OptionalLong.of(Math.max(steady, wall));
    }

    /** Returns the age as it stands in the log. */
    Object loggedAge() {
        OptionalLong age = ageMillis();
        return age.isPresent() ? age.getAsLong() : "unconfirmed";
    }

    /** Takes a configuration if it is newer; returns whether it was. */
    boolean updateIfNewer(byte[] candidate, String from) {
        QueueCatalog read;
        try {
            read = ConfigurationBody.read(candidate);
        } catch (UnreadableBodyException e) {
            log.write(NodeEvent.CONFIGURATION_UNREADABLE, "source", from, "reason", e.getMessage());
            storedVersionUnreadable = storedVersionUnreadable || from.equals(STORE);
            return false;
        }
        storedVersionUnreadable = storedVersionUnreadable && !from.equals(STORE);
        if (read.version() <= version()) {
            return false;
        }
        log.write(
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
