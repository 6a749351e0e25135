package org.tarragonarch.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import okhttp3.HttpUrl;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.platform.AuditRecord;

/** The administration API of one node. Calls block for at most the timeout; safe for use by several threads. */
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
     * Reads what the node knows of itself, its peers and endpoints.
     *
     * @throws AdminException if there is no usable answer
     */
    public NodeView status() throws AdminException {
        return AdminJson.node(address, get("admin", "status"));
    }

    /**
     * Reads the configuration in force at the node; version 0 where it has none.
     *
     * @throws AdminException if there is no usable answer
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
     * Reads an accepted configuration by its version, which the node loads from the platform.
     *
     * @throws AdminException if there is no usable answer, or the node gave another version
     */
    public ConfigurationView configuration(ConfigurationVersion version) throws AdminException {
        HttpUrl url = url("admin", "configuration")
                .addQueryParameter("version", version.toString())
                .build();
        ConfigurationView view = AdminJson.configuration(address, http.get(address, url));
        if (!view.version().equals(version)) {
            throw AdminException.unreadable(address, "it holds version " + view.version() + " in place of " + version);
        }
        return view;
    }

    /**
     * Reads the audit trail, the newest change first.
     *
     * @throws AdminException if there is no usable answer
     */
    public ImmutableList<AuditRecord> audit(int limit) throws AdminException {
        HttpUrl url = url("admin", "audit")
                .addQueryParameter("limit", Integer.toString(limit))
                .build();
        return AdminJson.audit(address, http.get(address, url));
    }

    /**
     * Asks the node to accept a configuration; sending it again with the same change id is harmless.
     *
     * @return the version under which it was accepted
     * @throws AdminException if it was refused, or there is no usable answer
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
     * Asks the node to leave: it finishes what it has and takes nothing new.
     *
     * @throws AdminException if it was refused, or there is no usable answer
     */
    public void drain() throws AdminException {
        http.post(address, url("admin", "drain").build(), NO_BODY);
    }

    /**
     * Asks the node to give an endpoint no new task.
     *
     * @throws AdminException if it was refused, or there is no usable answer
     */
    public void drainEndpoint(EndpointId endpoint) throws AdminException {
        http.post(address, endpointDrain(endpoint), NO_BODY);
    }

    /**
     * Takes back {@link #drainEndpoint}.
     *
     * @throws AdminException if it was refused, or there is no usable answer
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
