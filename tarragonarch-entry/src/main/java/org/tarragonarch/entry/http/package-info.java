/** The HTTP server that both APIs stand on, with its limits. */
package org.tarragonarch.entry.http;
