/** Which node holds which shard of endpoints, and which endpoints there are. */
package org.tarragonarch.core.shard;
