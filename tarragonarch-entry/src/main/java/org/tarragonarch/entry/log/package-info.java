/** The log: one event a line. */
package org.tarragonarch.entry.log;
