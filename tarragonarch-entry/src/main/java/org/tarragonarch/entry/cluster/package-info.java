/** The node on the users' platform: one event loop that joins the doors, the peers, the store and the endpoints. */
package org.tarragonarch.entry.cluster;
