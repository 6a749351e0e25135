/** The settings of a node and their file format. */
package org.tarragonarch.entry.settings;
