/** The control thread, which alone runs the core. */
package org.tarragonarch.entry.control;
