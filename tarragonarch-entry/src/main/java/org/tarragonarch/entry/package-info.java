/** The entry node: its command line and the wiring of its parts. */
package org.tarragonarch.entry;
