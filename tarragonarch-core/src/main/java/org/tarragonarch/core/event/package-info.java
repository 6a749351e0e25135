/** Everything that can happen to a node, as typed events. */
package org.tarragonarch.core.event;
