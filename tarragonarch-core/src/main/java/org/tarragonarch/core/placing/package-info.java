/**
 * Placement of the tasks of jobs on the endpoints of the shards that a node holds: admission, start order,
 * reservations, runs and their recovery after a change of holder.
 */
package org.tarragonarch.core.placing;
