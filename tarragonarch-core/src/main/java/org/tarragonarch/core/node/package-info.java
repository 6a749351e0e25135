/** The node: the single entry point that turns events into actions. */
package org.tarragonarch.core.node;
