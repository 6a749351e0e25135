package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.EndpointEntry;

/** The versions of the store as of which this node knows the endpoints, and at which it saw each of them change. */
public final class EndpointChanges {
    private final Map<EndpointId, Change> changes = new HashMap<>();
    private long version;

    /** Creates an instance that knows nothing. */
    public EndpointChanges() {}

    /** Returns the store's version as of which the endpoints are known; 0 if they are not. */
    public long version() {
        return version;
    }

    /** Records that the listed endpoints are still the same as of a version. */
    public void confirm(long asOfVersion) {
        version = Math.max(version, asOfVersion);
    }

    /** Records that exactly these endpoints were listed as of a version, unless a later one is known. */
    public void update(Iterable<EndpointEntry> listed, long asOfVersion) {
        confirm(asOfVersion);
        ImmutableMap<EndpointId, EndpointEntry> byId = Maps.uniqueIndex(listed, EndpointEntry::id);
        changes.keySet().retainAll(byId.keySet());
        byId.forEach((id, entry) -> {
            Change known = changes.get(id);
            if (known == null || !known.entry().equals(entry)) {
                changes.put(id, new Change(entry, version));
            }
        });
    }

    /** Returns the listed endpoints that have changed since a version. */
    public ImmutableList<EndpointEntry> since(long sinceVersion) {
        return changes.values().stream()
                .filter(change -> change.version() > sinceVersion)
                .map(Change::entry)
                .collect(ImmutableList.toImmutableList());
    }

    /** An entry, and the version as of which this node knew it first. */
    private record Change(EndpointEntry entry, long version) {}
}
