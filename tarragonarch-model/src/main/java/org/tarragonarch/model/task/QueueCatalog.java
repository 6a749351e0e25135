package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.Optional;

/** The queues of one version of the configuration, looked up by host and path. */
public final class QueueCatalog {
    private final long version;
    private final ImmutableListMultimap<String, QueueDefinition> byHost;

    private QueueCatalog(long version, ImmutableListMultimap<String, QueueDefinition> byHost) {
        this.version = version;
        this.byHost = byHost;
    }

    /**
     * Returns a catalog.
     *
     * @param version the version of the configuration, 1 or more
     */
    public static QueueCatalog of(long version, Iterable<QueueDefinition> queues) {
        checkArgument(version >= 1, "version %s is below 1", version);
        Comparator<QueueDefinition> longestFirst = Comparator.comparingInt(
                        (QueueDefinition queue) -> queue.prefix().length())
                .reversed();
        ImmutableList<QueueDefinition> sorted = ImmutableList.sortedCopyOf(longestFirst, queues);
        return new QueueCatalog(version, Multimaps.index(sorted, QueueDefinition::host));
    }

    /** Returns the version of the configuration. */
    public long version() {
        return version;
    }

    /** Returns the services whose endpoints run tasks of the queues. */
    public ImmutableSet<String> services() {
        return byHost.values().stream().map(QueueDefinition::service).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the queue of the host with the longest matching path prefix, if any. */
    public Optional<QueueDefinition> find(String host, String path) {
        checkNotNull(path, "path");
        for (QueueDefinition queue : byHost.get(host)) {
            if (path.startsWith(queue.prefix())) {
                return Optional.of(queue);
            }
        }
        return Optional.empty();
    }
}
