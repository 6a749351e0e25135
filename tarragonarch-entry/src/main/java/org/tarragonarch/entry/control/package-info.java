/** The control thread, the only thread that runs the core. */
package org.tarragonarch.entry.control;
