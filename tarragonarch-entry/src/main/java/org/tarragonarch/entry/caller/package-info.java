/** The HTTP API by which callers submit requests and jobs and receive one complete answer for each. */
package org.tarragonarch.entry.caller;
