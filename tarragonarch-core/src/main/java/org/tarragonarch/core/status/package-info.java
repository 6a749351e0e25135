/** Immutable snapshots of a node's state for the administration API. */
package org.tarragonarch.core.status;
