/** The exchange of messages with other entry nodes. */
package org.tarragonarch.entry.peer;
