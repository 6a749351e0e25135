package org.tarragonarch.model.share;

/**
 * The processor time in use by the jobs of one priority, of all services, on the endpoints of one failure domain.
 *
 * @param priority the priority of the queues
 * @param milliCores the processor time of the runs in progress, in thousandths of a core
 */
public record ShareUse(int priority, long milliCores) {}
