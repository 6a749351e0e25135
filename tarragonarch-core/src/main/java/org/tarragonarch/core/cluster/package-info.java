/** One node among its peers: which shards it holds, which peers it notifies, and where its clients' jobs go. */
package org.tarragonarch.core.cluster;
