package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.platform.VmRecord;

/**
 * The platform's list of VMs.
 *
 * <p>A list of thousands of VMs read whole every few seconds would cost a node far more than all its other control
 * traffic, and it changes a few hundred times a day; so it is read by its tag, and whole only when it has changed. Safe
 * for use by many threads.
 */
final class HttpVmList implements VmListService {
    private final PlatformHttp http;
    private volatile Optional<Tagged> last = Optional.empty();

    HttpVmList(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public ImmutableList<VmRecord> list() throws PlatformException {
        Optional<Tagged> known = last;
        PlatformReply reply = http.getIfChanged(PlatformPart.VMS, http.url("vms"), known.map(Tagged::tag));
        if (known.isPresent() && reply.status() == PlatformHttp.NOT_MODIFIED) {
            return known.get().vms();
        }
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        ImmutableList<VmRecord> vms = read(reply);
        last = reply.tag().map(tag -> new Tagged(tag, vms));
        return vms;
    }

    private static ImmutableList<VmRecord> read(PlatformReply reply) throws PlatformException {
        JsonNode lines = reply.json().path("vms");
        if (!lines.isArray()) {
            throw reply.unusableBody("it lacks 'vms'", null);
        }
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (JsonNode line : lines) {
            try {
                vms.add(VmRecordJson.read(line));
            } catch (IllegalArgumentException e) {
                throw reply.unusableBody("a line is malformed", e);
            }
        }
        return vms.build();
    }

    private record Tagged(String tag, ImmutableList<VmRecord> vms) {}
}
