package org.tarragonarch.core.event;

/**
 * A read that the node asked for had no result.
 *
 * @param part the part that was asked
 * @param detail a sentence for a person
 */
public record PlatformFailed(PlatformPart part, String detail) implements Event {}
