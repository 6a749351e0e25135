/** The HTTP server of the caller API and the administration API, with its resource limits. */
package org.tarragonarch.entry.http;
