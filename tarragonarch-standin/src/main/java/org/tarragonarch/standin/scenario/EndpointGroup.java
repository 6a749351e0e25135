package org.tarragonarch.standin.scenario;

/**
 * The endpoints of one domain.
 *
 * @param count how many there are
 * @param slots the slots of each
 */
public record EndpointGroup(int count, int slots) {}
