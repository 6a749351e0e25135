/** The state machine of an entry node, which turns events into actions. */
package org.tarragonarch.core.node;
