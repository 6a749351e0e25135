/** The entry module. */
package org.tarragonarch.entry;
