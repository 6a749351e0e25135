package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Function;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.core.status.QuotaStatus;

/** Writes status snapshots as JSON; keys are the names of the record components in kebab case. */
final class StatusJson {
    private StatusJson() {}

    static ObjectNode status(NodeStatus status) {
        ObjectNode json = self(status);
        json.put("submissions", status.submissions());
        json.set("endpoints", array(status.endpoints(), StatusJson::endpoint));
        json.set("peers", array(status.peers(), StatusJson::peer));
        json.set("queues", array(status.queues(), StatusJson::queue));
        json.set("quotas", array(status.quotas(), StatusJson::quota));
        return json;
    }

    static ObjectNode endpoints(NodeStatus status) {
        return wrapped("endpoints", array(status.endpoints(), StatusJson::endpoint));
    }

    /** Lists this node first, always as alive, then its peers. */
    static ObjectNode nodes(NodeStatus status) {
        ArrayNode nodes = JsonNodeFactory.instance.arrayNode();
        nodes.add(self(status).put("alive", true).put("self", true));
        status.peers().forEach(peer -> nodes.add(peer(peer).put("self", false)));
        return wrapped("nodes", nodes);
    }

    static ObjectNode queues(NodeStatus status) {
        return wrapped("queues", array(status.queues(), StatusJson::queue));
    }

    static ObjectNode quotas(NodeStatus status) {
        return wrapped("quotas", array(status.quotas(), StatusJson::quota));
    }

    private static ObjectNode self(NodeStatus status) {
        return object().put("node", status.node().value())
                .put("incarnation", status.incarnation().value())
                .put("domain", status.domain().value())
                .put("phase", status.phase().word())
                .put("configuration", status.configuration().value());
    }

    private static ObjectNode endpoint(EndpointStatus endpoint) {
        return object().put("endpoint", endpoint.endpoint().value())
                .put("domain", endpoint.domain().value())
                .put("address", endpoint.address().toString())
                .put("slots", endpoint.slots())
                .put("in-flight", endpoint.inFlight())
                .put("health", endpoint.health())
                .put("why", endpoint.why());
    }

    private static ObjectNode peer(PeerStatus peer) {
        return object().put("node", peer.node().value())
                .put("domain", peer.domain().value())
                .put("alive", peer.alive())
                .put("phase", peer.phase().word())
                .put("configuration", peer.configuration().value());
    }

    private static ObjectNode queue(QueueStatus queue) {
        return object().put("service", queue.service().value())
                .put("team", queue.team().value())
                .put("queued-tasks", queue.queuedTasks())
                .put("running-tasks", queue.runningTasks());
    }

    private static ObjectNode quota(QuotaStatus quota) {
        return object().put("team", quota.team().value())
                .put("running", quota.running())
                .put("share", quota.share())
                .put("quota", quota.quota());
    }

    private static <T> ArrayNode array(List<T> items, Function<T, ObjectNode> json) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        items.forEach(item -> array.add(json.apply(item)));
        return array;
    }

    private static ObjectNode wrapped(String key, ArrayNode items) {
        ObjectNode json = object();
        json.set(key, items);
        return json;
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
