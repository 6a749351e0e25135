/** The node's settings, as its file says. */
package org.tarragonarch.entry.settings;
