/** What the administration API shows of a node, as immutable snapshots. */
package org.tarragonarch.core.status;
