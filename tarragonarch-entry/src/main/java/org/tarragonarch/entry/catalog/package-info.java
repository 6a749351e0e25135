/** The configuration in force: token lookup, and the canonical texts that peers request. */
package org.tarragonarch.entry.catalog;
