/** The messages from and to other entry nodes. */
package org.tarragonarch.entry.peer;
