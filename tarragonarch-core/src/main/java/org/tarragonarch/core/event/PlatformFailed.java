package org.tarragonarch.core.event;

/**
 * A read from the platform failed.
 *
 * @param part the part of the platform that was read
 * @param detail a human-readable description
 */
public record PlatformFailed(PlatformPart part, String detail) implements Event {}
