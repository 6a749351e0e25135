/**
 * A small HTTP/1.1 server for the stand-ins, built directly on Netty.
 *
 * <p>Web frameworks do not let a handler cause the faults that the stand-ins need: a connection closed before the
 * request is read, a truncated body, and a port that stops and resumes listening.
 */
package org.tarragonarch.standin.http;
