/** Shares: how the capacity of a pool is divided among the priorities of a service's queues. */
package org.tarragonarch.model.share;
