package org.tarragonarch.standin.scenario;

/**
 * The endpoints of one failure domain.
 *
 * @param count the number of endpoints
 * @param slots the slots of each endpoint
 */
public record EndpointGroup(int count, int slots) {}
