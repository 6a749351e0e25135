package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;

/** Converts entries of the list of VMs to and from JSON. */
public final class VmRecordJson {
    private VmRecordJson() {}

    /** Returns an entry of the list as JSON. */
    public static ObjectNode write(VmRecord vm) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("name", vm.name())
                .put("role", vm.role().word())
                .put("domain", vm.domain().value())
                .put("address", vm.address().toString())
                .put("state", vm.state().word());
        ArrayNode services = json.putArray("services");
        vm.services().forEach(service -> services.add(service.value()));
        return json.put("slots", vm.slots());
    }

    /**
     * Reads an entry of the list.
     *
     * @throws IllegalArgumentException if the value is not an entry of the list
     */
    public static VmRecord read(JsonNode json) {
        ImmutableSet.Builder<ServiceName> services = ImmutableSet.builder();
        json.path("services").forEach(service -> services.add(ServiceName.of(service.asText())));
        return new VmRecord(
                JsonFields.text(json, "name"),
                role(JsonFields.text(json, "role")),
                FailureDomain.of(JsonFields.text(json, "domain")),
                Address.parse(JsonFields.text(json, "address")),
                state(JsonFields.text(json, "state")),
                services.build(),
                json.path("slots").asInt());
    }

    private static VmRole role(String word) {
        for (VmRole role : VmRole.values()) {
            if (role.word().equals(word)) {
                return role;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not the role of a VM");
    }

    private static VmState state(String word) {
        for (VmState state : VmState.values()) {
            if (state.word().equals(word)) {
                return state;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not the state of a VM");
    }
}
