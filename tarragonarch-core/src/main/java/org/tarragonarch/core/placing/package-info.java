/**
 * Placing the tasks of jobs on the endpoints of one shard: who holds an endpoint under which token, what room is left,
 * what runs, and what waits in which order.
 */
package org.tarragonarch.core.placing;
