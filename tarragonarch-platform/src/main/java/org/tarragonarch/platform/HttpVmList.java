package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.platform.VmRecord;

/**
 * Reads the list of VMs over HTTP.
 *
 * <p>The list is transferred only if its entity tag has changed. It may have thousands of VMs and changes a few hundred
 * times a day; transferring it every few seconds would cost a node far more than all its other control traffic.
 *
 * <p>Thread-safe.
 */
final class HttpVmList implements VmListService {
    private final PlatformHttp http;
    private volatile Optional<TaggedList> lastRead = Optional.empty();

    HttpVmList(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public ImmutableList<VmRecord> list() throws PlatformException {
        Optional<TaggedList> previous = lastRead;
        PlatformReply reply = http.getIfChanged(PlatformPart.VMS, http.url("vms"), previous.map(TaggedList::tag));
        if (previous.isPresent() && reply.status() == PlatformHttp.NOT_MODIFIED) {
            return previous.get().vms();
        }
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        ImmutableList<VmRecord> vms = read(reply);
        lastRead = reply.tag().map(tag -> new TaggedList(tag, vms));
        return vms;
    }

    private static ImmutableList<VmRecord> read(PlatformReply reply) throws PlatformException {
        JsonNode entries = reply.json().path("vms");
        if (!entries.isArray()) {
            throw reply.unusableBody("field 'vms' is missing or not an array", null);
        }
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (JsonNode entry : entries) {
            try {
                vms.add(VmRecordJson.read(entry));
            } catch (IllegalArgumentException e) {
                throw reply.unusableBody("an entry of the VM list is malformed", e);
            }
        }
        return vms.build();
    }

    private record TaggedList(String tag, ImmutableList<VmRecord> vms) {}
}
