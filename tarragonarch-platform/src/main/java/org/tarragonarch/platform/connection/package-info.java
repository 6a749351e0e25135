/**
 * Kept HTTP connections whose end is noticed before a request is written to them.
 *
 * <p>A process that dies closes its connections, and the kernel of this machine knows it at once. OkHttp looks at a
 * kept connection only after it was idle for ten seconds; until then it writes the request into the closed connection,
 * and what broke afterwards can no longer be distinguished from a request that was read. Here each request first asks
 * the kernel.
 */
package org.tarragonarch.platform.connection;
