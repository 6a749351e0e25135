/**
 * A small HTTP/1.1 server of the stand-ins, on Netty itself.
 *
 * <p>The faults that the stand-ins provoke lie below what a web framework lets a handler do: a connection closed before
 * the request is read, a body cut short, a listening port that goes away and comes back.
 */
package org.tarragonarch.standin.http;
