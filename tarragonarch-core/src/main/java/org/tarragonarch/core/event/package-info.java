/** The events that are the input of a node. */
package org.tarragonarch.core.event;
