/** Coordination of a node with its peers: shards that it holds, statuses that it sends, and holders that it knows. */
package org.tarragonarch.core.cluster;
