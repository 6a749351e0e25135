package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.VmRecord;

/** The platform's list of VMs. */
final class HttpVmList implements VmListService {
    private final PlatformHttp http;

    HttpVmList(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public ImmutableList<VmRecord> list() throws PlatformException {
        PlatformReply reply = http.get(PlatformPart.VMS, http.url("vms"));
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpected();
        }
        JsonNode lines = reply.json().path("vms");
        if (!lines.isArray()) {
            throw reply.unusable("it lacks 'vms'", null);
        }
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (JsonNode line : lines) {
            try {
                vms.add(VmRecordJson.read(line));
            } catch (IllegalArgumentException e) {
                throw reply.unusable("a line is malformed", e);
            }
        }
        return vms.build();
    }
}
