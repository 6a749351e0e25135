/**
 * Detection of closed persistent HTTP connections before a request is written to them.
 *
 * <p>A process that dies closes its connections, and the kernel of this machine learns of it at once. OkHttp checks a
 * reused connection only if it was idle for ten seconds. Before that, it writes the request to the closed connection,
 * and the failure cannot be distinguished from that of a request that was read. The check in this package asks the
 * kernel before each request.
 */
package org.tarragonarch.platform.connection;
