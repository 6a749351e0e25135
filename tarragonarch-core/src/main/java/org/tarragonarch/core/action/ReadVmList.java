package org.tarragonarch.core.action;

/** Read the platform's VM list, and report {@code VmListRead} or {@code PlatformFailed}. */
public record ReadVmList() implements Action {}
