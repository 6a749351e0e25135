package org.tarragonarch.platform;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.VmRecord;

/** The platform's list of live and leaving VMs, which may be out of date. */
public interface VmListService {
    /**
     * Reads the whole list; blocks for at most the client's timeout.
     *
     * @throws PlatformException if the list cannot be read
     */
    ImmutableList<VmRecord> list() throws PlatformException;
}
