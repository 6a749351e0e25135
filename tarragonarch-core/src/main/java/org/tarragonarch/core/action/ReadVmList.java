package org.tarragonarch.core.action;

/** Read the platform's list of VMs, and report {@code VmListRead} or {@code PlatformFailed}. */
public record ReadVmList() implements Action {}
