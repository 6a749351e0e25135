/** Logging to standard error, one event per line. */
package org.tarragonarch.entry.log;
