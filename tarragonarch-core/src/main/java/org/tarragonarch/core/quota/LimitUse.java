package org.tarragonarch.core.quota;

/**
 * The use of one limit on this node.
 *
 * @param key the team or service that is limited
 * @param running the number of running tasks that this node has sent
 * @param share the number of tasks of this node that may run at a time
 * @param limit the number of tasks that may run at a time in the failure domain
 */
public record LimitUse<K>(K key, int running, int share, int limit) {}
