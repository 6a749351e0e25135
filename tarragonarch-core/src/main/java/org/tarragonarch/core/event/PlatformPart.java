package org.tarragonarch.core.event;

/** The parts of the platform that can fail independently. */
public enum PlatformPart {
    /** The list of live and leaving VMs. */
    VM_LIST,
    /** The row that names the accepted configuration. */
    CONFIGURATION_ROW
}
