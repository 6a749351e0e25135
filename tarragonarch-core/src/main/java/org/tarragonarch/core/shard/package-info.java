/** Election of the node that holds each shard, and the list of endpoints in the shards. */
package org.tarragonarch.core.shard;
