package org.tarragonarch.core.quota;

/**
 * How a key uses its limit on this node.
 *
 * @param key what is limited
 * @param running tasks that run from this node
 * @param share how many may run from this node at once
 * @param limit how many may run in the failure domain at once
 */
public record LimitUse<K>(K key, int running, int share, int limit) {}
