/** One node among its peers: which shards it holds, whom it tells what, and where its clients' jobs go. */
package org.tarragonarch.core.cluster;
