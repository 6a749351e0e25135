/** The jobs of this node's clients: which holder they were handed to, and the one answer that each gets. */
package org.tarragonarch.core.routing;
