package org.tarragonarch.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import okhttp3.HttpUrl;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.platform.AuditRecord;

/** A client of the administration API of one node. Calls block for at most the timeout. Thread-safe. */
public final class AdminClient {
    private static final byte[] NO_BODY = {};

    private final AdminHttp http;
    private final Address address;

    AdminClient(AdminHttp http, Address address) {
        this.http = http;
        this.address = address;
    }

    /** Returns the node's administration address. */
    public Address address() {
        return address;
    }

    /**
     * Reads the status of the node, with its view of its peers and endpoints.
     *
     * @throws AdminException if there is no valid answer
     */
    public NodeView status() throws AdminException {
        return AdminJson.node(address, get("admin", "status"));
    }

    /**
     * Reads the configuration in force at the node, or {@link ConfigurationView#NONE} if there is none.
     *
     * @throws AdminException if there is no valid answer
     */
    public ConfigurationView configuration() throws AdminException {
        try {
            return AdminJson.configuration(address, get("admin", "configuration"));
        } catch (AdminException e) {
            if (e.isNotFound()) {
                return ConfigurationView.NONE;
            }
            throw e;
        }
    }

    /**
     * Reads an accepted configuration, which the node loads from the platform.
     *
     * @throws AdminException if there is no valid answer, or the answer is another version
     */
    public ConfigurationView configuration(ConfigurationVersion version) throws AdminException {
        HttpUrl url = url("admin", "configuration")
                .addQueryParameter("version", version.toString())
                .build();
        ConfigurationView view = AdminJson.configuration(address, http.get(address, url));
        if (!view.version().equals(version)) {
            throw AdminException.unreadable(address, "expected version " + version + ", found " + view.version());
        }
        return view;
    }

    /**
     * Reads the latest changes of the audit trail, the newest first.
     *
     * @throws AdminException if there is no valid answer
     */
    public ImmutableList<AuditRecord> audit(int limit) throws AdminException {
        HttpUrl url = url("admin", "audit")
                .addQueryParameter("limit", Integer.toString(limit))
                .build();
        return AdminJson.audit(address, http.get(address, url));
    }

    /**
     * Submits a configuration for acceptance. Idempotent: the same change id is accepted only once.
     *
     * @return the version under which it was accepted
     * @throws AdminException if the node refuses or gives no valid answer
     */
    public ConfigurationVersion accept(ChangeRequest change) throws AdminException {
        HttpUrl url = url("admin", "configuration")
                .addQueryParameter("from", change.from().toString())
                .addQueryParameter("change", change.changeId().toString())
                .addQueryParameter("summary", change.summary())
                .build();
        return AdminJson.version(address, http.post(address, url, change.canonical()));
    }

    /**
     * Drains the node: it completes its open submissions and accepts no new ones.
     *
     * @throws AdminException if the node refuses or gives no valid answer
     */
    public void drain() throws AdminException {
        http.post(address, url("admin", "drain").build(), NO_BODY);
    }

    /**
     * Drains an endpoint at this node: the node sends it no new tasks.
     *
     * @throws AdminException if the node refuses or gives no valid answer
     */
    public void drainEndpoint(EndpointId endpoint) throws AdminException {
        http.post(address, endpointDrain(endpoint), NO_BODY);
    }

    /**
     * Ends the drain of an endpoint at this node.
     *
     * @throws AdminException if the node refuses or gives no valid answer
     */
    public void undrainEndpoint(EndpointId endpoint) throws AdminException {
        http.delete(address, endpointDrain(endpoint));
    }

    private HttpUrl endpointDrain(EndpointId endpoint) {
        return url("admin", "endpoints", endpoint.toString(), "drain").build();
    }

    private JsonNode get(String... segments) throws AdminException {
        return http.get(address, url(segments).build());
    }

    private HttpUrl.Builder url(String... segments) {
        HttpUrl.Builder url = AdminHttp.url(address);
        for (String segment : segments) {
            url.addPathSegment(segment);
        }
        return url;
    }
}
