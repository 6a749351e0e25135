/** The configuration in force as the shell needs it: whose token it is, and the text that peers ask for. */
package org.tarragonarch.entry.catalog;
