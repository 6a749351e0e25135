/** The HTTP client that sends tasks to endpoints and classifies their answers. */
package org.tarragonarch.entry.endpoint;
