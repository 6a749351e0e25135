/** Traces, which record every event of a node with its time as JSON lines, and their replay. */
package org.tarragonarch.entry.trace;
