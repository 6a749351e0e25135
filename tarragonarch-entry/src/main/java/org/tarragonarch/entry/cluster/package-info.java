/** The node on the users' platform: one event loop that serves clients, peers, the store and the endpoints. */
package org.tarragonarch.entry.cluster;
