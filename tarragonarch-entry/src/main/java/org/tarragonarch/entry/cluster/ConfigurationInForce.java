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

/** The configuration in force at this node. Its version only increases, whether it comes from the store or a peer. */
final class ConfigurationInForce {
    /** The source name of versions that were read from the store. */
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
     * Creates an instance without a configuration.
     *
     * @param maxAgeMillis the greatest age of a confirmation at which an unknown queue is reported as such
     * @param wallMillis the time of day, which also advances while the VM is suspended
     */
    ConfigurationInForce(long maxAgeMillis, Timers timers, LongSupplier wallMillis, DecisionLog log) {
        this.maxAgeMillis = maxAgeMillis;
        this.timers = timers;
        this.wallMillis = wallMillis;
        this.log = log;
    }

    Optional<QueueCatalog> catalog() {
        return catalog;
    }

    /** Returns the text of the configuration as the operators wrote it; empty if there is none. */
    byte[] text() {
        return text;
    }

    long version() {
        return catalog.map(QueueCatalog::version).orElse(0L);
    }

    /**
     * Looks up the queue that a request names.
     *
     * <p>Guards against "no such queue" for a queue that was added while this node could not learn of it: the store was
     * down or unreachable, this process or its VM was paused, or the configuration came from a peer that may itself be
     * cut off. Clients treat that answer as final. A queue is therefore reported as unknown only if the last
     * confirmation is no older than the time within which a change must be in force. A known queue is found at any
     * age, so that a failure domain that is cut off still serves it.
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
     * Records that the store had no newer version than the last one read from it.
     *
     * <p>Has no effect while the newest stored version is unreadable, as that version may contain queues that the
     * version in force lacks.
     *
     * @param asOfMillis when that was so, by the monotonic clock
     */
    void confirm(long asOfMillis) {
        if (storedVersionUnreadable) {
            return;
        }
        confirmedAtMillis = OptionalLong.of(asOfMillis);
        confirmedAtWallMillis = wallMillis.getAsLong() - (timers.nowMillis() - asOfMillis);
    }

    /**
     * Returns the time since the last confirmation in milliseconds; empty if there was none.
     *
     * <p>The monotonic clock stops while a VM is suspended, and the time of day may be set. The result is the longer
     * of the times by the two clocks: it is never too short, and too long only until the next confirmation.
     */
    OptionalLong ageMillis() {
        if (confirmedAtMillis.isEmpty()) {
            return OptionalLong.empty();
        }
        long monotonic = timers.nowMillis() - confirmedAtMillis.getAsLong();
        long wall = wallMillis.getAsLong() - confirmedAtWallMillis;
        return OptionalLong.of(Math.max(monotonic, wall));
    }

    /** Returns the age for log lines: a number of milliseconds, or the word for a version never confirmed. */
    Object loggedAge() {
        OptionalLong age = ageMillis();
        return age.isPresent() ? age.getAsLong() : "unconfirmed";
    }

    /**
     * Puts a configuration in force if it is readable and newer than the current one.
     *
     * @param from the source: {@link #STORE} or the name of a peer
     * @return whether the configuration was put in force
     */
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
