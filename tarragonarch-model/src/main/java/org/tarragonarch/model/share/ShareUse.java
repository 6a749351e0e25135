package org.tarragonarch.model.share;

/**
 * What the jobs of one priority have in use on the endpoints of one failure domain, those of all services together.
 *
 * @param priority the priority of the queues
 * @param milliCores the processor time of their runs under way, in thousandths of a core
 */
public record ShareUse(int priority, long milliCores) {}
