/** Routing of the jobs of a node's clients: offers to holders, takeover after the loss of a holder, and answers. */
package org.tarragonarch.core.routing;
